package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/source"
	"baywall.example/entry/catalog"
)

// unavailableStore refuses every call, like a store that rejects a VM.
type unavailableStore struct{}

func (unavailableStore) List(context.Context, string, source.Freshness) ([]source.Item, source.Position, error) {
	return nil, source.Position{}, source.ErrUnavailable
}

func (unavailableStore) Watch(context.Context, string, source.Position, time.Duration) ([]source.Event, source.Position, error) {
	return nil, source.Position{}, source.ErrUnavailable
}

// silentStore never answers, like a store behind a network partition.
type silentStore struct{}

func (silentStore) List(ctx context.Context, _ string, _ source.Freshness) ([]source.Item, source.Position, error) {
	<-ctx.Done()
	return nil, source.Position{}, source.ErrUnavailable
}

func (silentStore) Watch(ctx context.Context, _ string, _ source.Position, _ time.Duration) ([]source.Event, source.Position, error) {
	<-ctx.Done()
	return nil, source.Position{}, source.ErrUnavailable
}

func TestGatewayWithoutStorePullsFromPeer(t *testing.T) {
	for name, store := range map[string]source.Store{"refused": unavailableStore{}, "silent": silentStore{}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := &testGateway{}, &testGateway{}
			first.run(t, fixedStore{item(t, "catalog", catalog.Content{Version: 7, Routes: routes()})})
			second.launch(t, store, func(s *Settings) {
				s.VM = "vm2"
				s.Seeds = []string{first.gateway.settings.Listen.Peers}
			})
			for until := time.Now().Add(3 * time.Second); !second.gateway.Ready() && time.Now().Before(until); {
				time.Sleep(5 * time.Millisecond)
			}
			is.True(second.gateway.Ready())
			is.Equal(second.gateway.catalog.Version(), uint64(7))
			first.publish(t, 8)
			for until := time.Now().Add(3 * time.Second); second.gateway.catalog.Version() < 8 && time.Now().Before(until); {
				time.Sleep(5 * time.Millisecond)
			}
			is.Equal(second.gateway.catalog.Version(), uint64(8))
		})
	}
}

// publish puts a configuration into force at the gateway, as its store would.
func (w *testGateway) publish(t *testing.T, version uint64) {
	t.Helper()
	published := item(t, "catalog", catalog.Content{Version: version, Routes: routes()})
	published.Position = at(version)
	w.gateway.follower.Offer(source.State{
		Items: map[string]source.Item{"catalog": published}, Position: at(version), Changed: at(version),
	})
}
