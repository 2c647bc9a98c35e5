// Package platform reads configuration resources and the list of VMs from the operators'
// platform. It never writes to the platform.
//
// The protocol is HTTP long polling: GET /v1/values/{key}?after=N&wait=D returns 200 with a
// Value newer than revision N as soon as there is one, or 304 when the wait has passed.
// A value is limited to a megabyte, so the configuration is published in shards: the value
// "index" lists the shards and their revisions, and each shard lists resources with the
// revision at which each last changed. A reader needs two calls to fetch a change,
// regardless of the size of the configuration. The list of VMs is the value "vms". A
// platform with another protocol needs another implementation of this file.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/answer"
	"baywall.example/core/bounded"
	"baywall.example/core/configuration"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
)

// Errors of the platform layer.
var (
	// ErrUnavailable means that the platform did not respond in time, or responded
	// with an unexpected status.
	ErrUnavailable = eris.New("platform: unavailable")
	// ErrUnchanged means that the wait ended without a newer revision.
	ErrUnchanged = eris.New("platform: unchanged")
	// ErrMalformed means that the platform's response could not be decoded.
	ErrMalformed = eris.New("platform: malformed response")
	// ErrStale means that a shard was older than its revision in the index.
	ErrStale = eris.New("platform: stale shard")
)

// Names of the published values.
const (
	KeyIndex = "index"
	KeyVMs   = "vms"
)

// maxValueBytes is the largest response that is read: the platform's limit of 1 MiB per
// value plus 4 KiB for the envelope.
const maxValueBytes = 1<<20 + 1<<12

// Value is one published value.
type Value struct {
	Revision uint64          `json:"revision"`
	Data     json.RawMessage `json:"data"`
}

// Index lists the shards of the configuration with their revisions.
type Index struct {
	Shards map[string]uint64 `json:"shards"`
}

// Shard is a part of the configuration.
type Shard struct {
	Resources []Resource `json:"resources"`
}

// Resource is one published resource.
type Resource struct {
	Kind     resource.Kind   `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// Source provides the configuration and the list of VMs to a process.
type Source interface {
	// Configuration waits for a configuration with a revision larger than after.
	Configuration(ctx context.Context, after uint64) (configuration.Batch, error)
	// VMs waits for a list with a revision larger than after.
	VMs(ctx context.Context, after uint64) (vm.List, error)
}

// Client is a Source that reads over HTTP. Different methods may run concurrently, but no
// method may run concurrently with itself.
type Client struct {
	base   string
	http   *http.Client
	wait   time.Duration
	shards map[string]shardState
}

type shardState struct {
	revision uint64
	keys     []resource.Key // a slice: with many teams a map would take three times the memory
}

// NewClient returns a client of the platform at the base URL. A long poll waits up to the
// given time for a newer revision.
func NewClient(base string, wait time.Duration) *Client {
	transport := answer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: bounded.MaxHead})
	return &Client{
		base:   base,
		wait:   wait,
		http:   &http.Client{Transport: transport},
		shards: make(map[string]shardState),
	}
}

// VMs waits for a list with a revision larger than after.
func (c *Client) VMs(ctx context.Context, after uint64) (vm.List, error) {
	value, err := c.get(ctx, KeyVMs, after, c.wait)
	if err != nil {
		return vm.List{}, err
	}
	var list vm.List
	if err := json.Unmarshal(value.Data, &list); err != nil {
		return vm.List{}, eris.Wrapf(ErrMalformed, "vms: %v", err)
	}
	list.Revision = value.Revision
	return list, nil
}

// Configuration waits for a configuration with a revision larger than after. The first
// batch, and the first one after a shard could not be read, is full; others hold only the
// shards that changed.
func (c *Client) Configuration(ctx context.Context, after uint64) (configuration.Batch, error) {
	value, err := c.get(ctx, KeyIndex, after, c.wait)
	if err != nil {
		return configuration.Batch{}, err
	}
	var index Index
	if err := json.Unmarshal(value.Data, &index); err != nil {
		return configuration.Batch{}, eris.Wrapf(ErrMalformed, "index: %v", err)
	}
	batch := configuration.Batch{Revision: value.Revision, Full: len(c.shards) == 0}
	for name, revision := range index.Shards {
		if err := c.readShard(ctx, name, revision, &batch); err != nil {
			clear(c.shards)
			return configuration.Batch{}, err
		}
	}
	return batch, nil
}

// readShard adds a shard's resources, and the deletions since it was last read, to the
// batch if the shard changed.
func (c *Client) readShard(ctx context.Context, name string, revision uint64, batch *configuration.Batch) error {
	old := c.shards[name]
	if old.revision >= revision {
		return nil
	}
	value, err := c.get(ctx, name, 0, 0)
	if err != nil {
		return err
	}
	if value.Revision < revision {
		return eris.Wrapf(ErrStale, "%s: revision %d, index says %d", name, value.Revision, revision)
	}
	var shard Shard
	if err := json.Unmarshal(value.Data, &shard); err != nil {
		return eris.Wrapf(ErrMalformed, "%s: %v", name, err)
	}
	keys := make([]resource.Key, 0, len(shard.Resources))
	present := make(map[resource.Key]struct{}, len(shard.Resources))
	for _, r := range shard.Resources {
		key := resource.Key{Kind: r.Kind, Name: r.Name}
		keys = append(keys, key)
		present[key] = struct{}{}
		batch.Records = append(batch.Records, configuration.Record{Key: key, Revision: r.Revision, Spec: r.Spec})
	}
	for _, key := range old.keys {
		if _, ok := present[key]; !ok {
			batch.Records = append(batch.Records, configuration.Record{Key: key, Revision: value.Revision, Deleted: true})
		}
	}
	c.shards[name] = shardState{revision: value.Revision, keys: keys}
	return nil
}

// responseSlack is how much longer than its wait a call may take.
const responseSlack = 5 * time.Second

func (c *Client) get(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseSlack)
	defer cancel()
	u := fmt.Sprintf("%s/v1/values/%s?after=%d&wait=%s", c.base, url.PathEscape(key), after, wait)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Value{}, eris.Wrapf(ErrUnavailable, "%s: %v", key, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, eris.Wrapf(ErrUnavailable, "%s: %s", key, bounded.ErrorText(err))
	}
	defer resp.Body.Close()
	raw, err := bounded.ReadAll(resp.Body, maxValueBytes)
	if err != nil {
		return Value{}, eris.Wrapf(ErrUnavailable, "%s: %v", key, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{}, ErrUnchanged
	default:
		return Value{}, eris.Wrapf(ErrUnavailable, "%s: status %d", key, resp.StatusCode)
	}
	var value Value
	if err := json.Unmarshal(raw, &value); err != nil {
		return Value{}, eris.Wrapf(ErrMalformed, "%s: %v", key, err)
	}
	if value.Revision <= after {
		return Value{}, ErrUnchanged // read from a stale replica of the platform
	}
	return value, nil
}
