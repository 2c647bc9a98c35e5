package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/notice"
	"baywall.example/core/source"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

// Headers are the names of the header fields that callers and backend servers
// use. An empty name means that there is no such field.
type Headers struct {
	RequestID     string // the caller's id of this attempt, echoed by backend servers
	APIKey        string // of the caller, never passed on
	Deadline      string // whole milliseconds that the caller, or the backend server, has
	Team          string // set for backend servers
	ExpectServer  string // id of the backend server that a request is meant for
	NotRun        string // in an answer: the request did not run
	Priority      string // set for backend servers, never taken from callers
	ExpectVersion string // set by gateways only, never taken from callers
	ResumeAfter   string // id of the last event that the caller has
}

// Adapter connects a gateway to the platform that it runs on.
type Adapter interface {
	// Name names the adapter in logs.
	Name() string
	// Headers returns the names that callers and backend servers use.
	Headers() Headers
	// Store returns the client of the store at an IP:port.
	Store(address string, log zerolog.Logger) source.Store
	// CatalogKey is the key of the configuration, BackendsPrefix that of the
	// list of backend servers.
	CatalogKey() string
	BackendsPrefix() string
	// EvacuatedZone returns the availability zone that an entry of the store asks to
	// evacuate, false if it is none of these.
	EvacuatedZone(key string) (zone string, ok bool)
	// DecodeCatalog decodes a configuration.
	DecodeCatalog(raw []byte) (catalog.Content, error)
	// DecodeBackend decodes one entry of the list of backend servers.
	DecodeBackend(key string, raw []byte) (balance.Info, error)
	// ProbeTarget returns the path at which a backend server of the service is
	// asked whether it takes requests, empty if it cannot be asked.
	ProbeTarget(s *catalog.Service) string
	// TakesRequests reads the answer to a probe.
	TakesRequests(s *catalog.Service, status int, body []byte) bool
	// ReadNotice reads from an answer, which came at a time, what its backend server says of
	// itself. What cannot be read, as the error tells, says nothing.
	ReadNotice(status int, h http.Header, now time.Time) (notice.Notice, error)
	// HoldOrder returns the order that makes a rank hold a step of its group, OrderTaken reads
	// from the status of the answer whether it does.
	HoldOrder(epoch, step uint64) Order
	OrderTaken(status int) bool
	// Directory serves callers who ask where to connect, and Ready those who
	// ask whether this gateway takes requests.
	Directory(d Directory) http.Handler
	Ready(d Directory) http.Handler
}

// Directory is what a gateway tells about itself and the fleet.
type Directory interface {
	// Ready reports whether this gateway takes requests.
	Ready() bool
	// Entries returns the addresses for callers of an availability zone.
	Entries(ctx context.Context, zone string) Entries
}

// Entries are the addresses that a caller may use for a while.
type Entries struct {
	Addresses  []string
	TTLSeconds int
}
