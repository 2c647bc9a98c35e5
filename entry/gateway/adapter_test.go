package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/notice"
	"baywall.example/core/ratelimit"
	"baywall.example/core/source"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

// testAdapter is a platform that encodes documents as JSON of the product's own types.
type testAdapter struct {
	store source.Store
}

func (testAdapter) Name() string { return "test" }

func (testAdapter) Headers() Headers {
	return Headers{
		RequestID: "T-Id", APIKey: "T-Key", Deadline: "T-Deadline", Team: "T-Team", ExpectServer: "T-Server",
		ServerID: "T-Server-Id", NotRun: "T-Not-Run", Priority: "T-Priority", ExpectVersion: "T-Version", ResumeAfter: "Last-Event-Id", Prompt: "T-Prompt", TokenCounts: "T-Tokens",
	}
}
func (a testAdapter) Store(string, zerolog.Logger) source.Store { return a.store }
func (testAdapter) CatalogKey() string                          { return "catalog" }
func (testAdapter) BackendsPrefix() string                      { return "backends/" }

func (testAdapter) EvacuatedZone(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuations/")
}

func (testAdapter) DecodeCatalog(raw []byte) (c catalog.Content, err error) {
	return c, json.Unmarshal(raw, &c)
}

func (testAdapter) DecodeBackend(_ string, raw []byte) (i balance.Info, err error) {
	return i, json.Unmarshal(raw, &i)
}

func (testAdapter) ProbeTarget(*catalog.Service) string { return "/probe" }

func (testAdapter) IdentityTarget(*catalog.Service) string { return identityPath }

func (testAdapter) TakesRequests(_ *catalog.Service, status int, _ []byte) bool {
	return status == http.StatusOK
}

// PromptParts reads ids that are separated by spaces.
func (testAdapter) PromptParts(h http.Header) []string { return strings.Fields(h.Get("T-Prompt")) }

// ReadNotice reads a limit in whole requests per second, the time for which the server is
// cold in whole seconds, a backoff in decimal seconds, and whether the server leaves.
func (testAdapter) ReadNotice(_ int, h http.Header, now time.Time) (n notice.Notice, err error) {
	n.Limit.Kind = ratelimit.LimitNone
	if text := h.Get("T-Limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil {
			return notice.Notice{}, err
		}
		n.Limit = ratelimit.Report{Kind: ratelimit.LimitSet, Limit: float64(limit)}
	}
	seconds, _ := strconv.Atoi(h.Get("T-Cold")) // 0 if the field is absent
	n.Cold = time.Duration(seconds) * time.Second
	n.Leaving = h.Get("T-Leaving") != ""
	n.Backoff, err = notice.ParseRetryAfter(h["T-Rest"], "", now)
	return n, err
}

// HoldOrder returns an order with the epoch and the step in its path.
func (testAdapter) HoldOrder(epoch, step uint64) Order {
	return Order{Target: fmt.Sprintf("/hold/%d/%d", epoch, step), Header: http.Header{}}
}

func (testAdapter) OrderTaken(status int) bool { return status == http.StatusOK }

func (testAdapter) Directory(Directory) http.Handler { return http.NotFoundHandler() }
func (testAdapter) Ready(Directory) http.Handler     { return http.NotFoundHandler() }
