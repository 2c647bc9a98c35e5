package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"baywall.example/core/ratelimit"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retry"
	"baywall.example/entry/slotqueue"
	"baywall.example/entry/upstream"
)

// gauges are the functions that are called to read gauge values when the metrics are
// fetched.
type gauges struct {
	catalogVersion   func() float64
	storeTerm        func() float64
	backendsRevision func() float64
	peers            func() float64
	suspects         func() float64
	suspectsOf       func(k quarantine.Kind, least quarantine.Status) float64
	limited          func() float64
	evacuated        func() float64
	permits          func() ratelimit.Counts
	logDropped       func() float64
}

// instruments are a gateway's counters and histograms.
type instruments struct {
	set            *metrics.Set
	requests       *metrics.Counter
	aborted        *metrics.Counter
	entriesRefused *metrics.Counter
	noticesRefused *metrics.Counter
	leavingNotices *metrics.Counter
	callerLeft     *metrics.Counter
	resumed        *metrics.Counter
	retries        *metrics.Counter
	skipped        *metrics.Counter
}

func newInstruments(g gauges) *instruments {
	set := metrics.NewSet()
	set.NewGauge("baywall_catalog_version", g.catalogVersion)
	set.NewGauge("baywall_store_era", g.storeTerm)
	set.NewGauge("baywall_backends_revision", g.backendsRevision)
	set.NewGauge("baywall_peers", g.peers)
	set.NewGauge("baywall_suspect_requests", g.suspects)
	for _, kind := range quarantine.Kinds() {
		set.NewGauge(fmt.Sprintf("baywall_suspects{kind=%q}", kind), func() float64 { return g.suspectsOf(kind, quarantine.Suspected) })
		set.NewGauge(fmt.Sprintf("baywall_quarantined{kind=%q}", kind), func() float64 { return g.suspectsOf(kind, quarantine.Quarantined) })
	}
	set.NewGauge("baywall_limited_servers", g.limited)
	set.NewGauge("baywall_evacuated_zones", g.evacuated)
	set.NewGauge("baywall_permits_used", func() float64 { return float64(g.permits().Got) })
	set.NewGauge("baywall_permits_lacking", func() float64 { return float64(g.permits().Denied) })
	set.NewGauge("baywall_permits_unanswered", func() float64 { return float64(g.permits().Unanswered) })
	set.NewGauge("baywall_log_lines_dropped", g.logDropped)
	return &instruments{
		set:            set,
		requests:       set.NewCounter("baywall_requests_total"),
		aborted:        set.NewCounter("baywall_answers_aborted_total"),
		entriesRefused: set.NewCounter("baywall_entries_refused_total"),
		noticesRefused: set.NewCounter("baywall_notices_refused_total"),
		leavingNotices: set.NewCounter("baywall_leaving_answers_total"),
		callerLeft:     set.NewCounter("baywall_callers_left_total"),
		resumed:        set.NewCounter("baywall_streams_resumed_total"),
		retries:        set.NewCounter("baywall_retries_total"),
		skipped:        set.NewCounter("baywall_answers_skipped_total"),
	}
}

// watchRetries adds the gauges of a service's retry budget.
func (i *instruments) watchRetries(b *retry.Budget) {
	gauge := func(name string, value func(retry.State) float64) {
		i.set.NewGauge(fmt.Sprintf("%s{service=%q}", name, b.Service), func() float64 { return value(b.State()) })
	}
	gauge("baywall_retry_window_requests", func(s retry.State) float64 { return float64(s.Requests) })
	gauge("baywall_retry_window_retries", func(s retry.State) float64 { return float64(s.Retries) })
	gauge("baywall_retries_earned", func(s retry.State) float64 { return s.Earned })
	gauge("baywall_retry_grantors", func(s retry.State) float64 { return float64(s.Grantors) })
	gauge("baywall_retry_grantors_open", func(s retry.State) float64 { return float64(s.Open) })
	gauge("baywall_retries_granted", func(s retry.State) float64 { return float64(s.Granted) })
	gauge("baywall_retry_part", func(s retry.State) float64 { return s.Part })
}

// watchSlotQueue adds the gauge of the length of a service's queue for slots.
func (i *instruments) watchSlotQueue(service string, length func() float64) {
	i.set.NewGauge(fmt.Sprintf("baywall_slot_queue_requests{service=%q}", service), length)
}

// waitedForSlot records the time that a request spent in the queue for a slot.
func (i *instruments) waitedForSlot(service string, d time.Duration) {
	i.set.GetOrCreateHistogram(fmt.Sprintf("baywall_slot_queue_wait_seconds{service=%q}", service)).Update(d.Seconds())
}

// refusedSlot counts a request that was refused because it cannot get a slot in time.
func (i *instruments) refusedSlot(service string, level slotqueue.Level) {
	i.set.GetOrCreateCounter(fmt.Sprintf("baywall_slot_queue_refusals_total{service=%q,level=\"%d\"}", service, level)).Inc()
}

// watchSpeed adds the gauge of how much longer than the median server the slowest server of a
// service takes for an answer.
func (i *instruments) watchSpeed(service string, slowest func() float64) {
	i.set.GetOrCreateGauge(fmt.Sprintf("baywall_slowest_server_slowness{service=%q}", service), slowest)
}

func (i *instruments) refused(outcome, reason string) {
	i.set.GetOrCreateCounter(fmt.Sprintf("baywall_refusals_total{outcome=%q,reason=%q}", outcome, reason)).Inc()
}

func (i *instruments) attempted(service, result string) {
	i.set.GetOrCreateCounter(fmt.Sprintf("baywall_attempts_total{service=%q,result=%q}", service, result)).Inc()
}

// unproven counts an answer that ended with its connection and is not known to be whole.
func (i *instruments) unproven(service string, state upstream.State) {
	i.set.GetOrCreateCounter(fmt.Sprintf("baywall_answers_unproven_total{service=%q,liveness=%q}", service, state)).Inc()
}

// backoffRequested counts a backend server's request for a backoff.
func (i *instruments) backoffRequested(server string) {
	i.set.GetOrCreateCounter(fmt.Sprintf("baywall_rests_total{server=%q}", server)).Inc()
}

// outageStarted counts an outage of a service.
func (i *instruments) outageStarted(service string) {
	i.set.GetOrCreateCounter(fmt.Sprintf("baywall_service_stood_total{service=%q}", service)).Inc()
}

// answered records the time to the complete answer, or for a stream to its first event.
func (i *instruments) answered(route string, d time.Duration) {
	i.set.GetOrCreateHistogram(fmt.Sprintf("baywall_answer_seconds{route=%q}", route)).Update(d.Seconds())
}

// gap records the longest pause between two events of a stream.
func (i *instruments) gap(route string, d time.Duration) {
	i.set.GetOrCreateHistogram(fmt.Sprintf("baywall_stream_longest_gap_seconds{route=%q}", route)).Update(d.Seconds())
}

// ServeHTTP writes all metrics as text.
func (i *instruments) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	i.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
