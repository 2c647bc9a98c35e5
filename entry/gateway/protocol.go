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

// Headers are the names of the header fields that callers and backend servers use. An empty
// name means that the field is not used. Without ExpectServer and ServerID, answers with neither
// a length nor chunks cannot be proven whole, and are not delivered.
type Headers struct {
	RequestID     string // id that the caller gave this attempt, echoed by backend servers
	APIKey        string // the caller's key, never forwarded
	Deadline      string // time that the caller, or the backend server, has left, in whole milliseconds
	Team          string // name of the team, set for backend servers
	ExpectServer  string // id of the backend server that a request is addressed to
	ServerID      string // in an answer: id of the backend server that gave it
	NotRun        string // in an answer: the request did not run
	Priority      string // set for backend servers, never accepted from callers
	ExpectVersion string // set by gateways only, never accepted from callers
	ResumeAfter   string // id of the last event that the caller has received
	Prompt        string // parts of the prompt; tells apart requests whose bodies are equal
	TokenCounts   string // "prompt,output": prompt tokens and largest number of output tokens, passed through
}

// Adapter connects a gateway to the platform that it runs on.
type Adapter interface {
	// Name names the adapter in logs.
	Name() string
	// Headers returns the names that callers and backend servers use.
	Headers() Headers
	// Store returns the client of the store at an IP:port.
	Store(address string, log zerolog.Logger) source.Store
	// CatalogKey is the key of the configuration, BackendsPrefix the key prefix of the list
	// of backend servers.
	CatalogKey() string
	BackendsPrefix() string
	// EvacuatedZone returns the availability zone whose evacuation an entry of the store
	// requests, or false if the entry is not such a request.
	EvacuatedZone(key string) (zone string, ok bool)
	// DecodeCatalog decodes a configuration.
	DecodeCatalog(raw []byte) (catalog.Content, error)
	// DecodeBackend decodes one entry of the list of backend servers.
	DecodeBackend(key string, raw []byte) (balance.Info, error)
	// ProbeTarget returns the path for probing whether a backend server of the service
	// accepts requests, or an empty string if it cannot be probed.
	ProbeTarget(s *catalog.Service) string
	// TakesRequests reports whether the answer to a probe says that the server accepts
	// requests.
	TakesRequests(s *catalog.Service, status int, body []byte) bool
	// IdentityTarget returns the path at which a backend server of the service, nil if it is
	// not published, gives its id when it rejects a request that expects another server.
	IdentityTarget(s *catalog.Service) string
	// PromptParts returns the ids of the parts of a request's prompt in their order, nil if the
	// caller does not name them or names them in a form that cannot be read.
	PromptParts(h http.Header) []string
	// ReadNotice extracts what a backend server reports about itself in an answer that was
	// received at the given time. Fields that cannot be read are treated as absent, and the
	// error says why.
	ReadNotice(status int, h http.Header, now time.Time) (notice.Notice, error)
	// HoldOrder returns the order that makes a rank hold a step of its group. OrderTaken
	// reports from the status of the answer whether the rank accepted an order.
	HoldOrder(epoch, step uint64) Order
	OrderTaken(status int) bool
	// Directory serves callers that look up where to connect, and Ready those that check
	// whether this gateway accepts requests.
	Directory(d Directory) http.Handler
	Ready(d Directory) http.Handler
}

// Directory gives access to what a gateway knows about itself and the fleet.
type Directory interface {
	// Ready reports whether this gateway accepts requests.
	Ready() bool
	// Entries returns the addresses for callers of an availability zone.
	Entries(ctx context.Context, zone string) Entries
}

// Entries are the addresses that a caller may use until their TTL expires.
type Entries struct {
	Addresses  []string
	TTLSeconds int
}
