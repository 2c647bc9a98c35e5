package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/inbound"
	"baywall.example/entry/catalog"
)

// The limits that operators publish had no effect on callers.
func TestLimitsForCallersFollowTheConfiguration(t *testing.T) {
	own := inbound.Settings{HeaderBytes: 64 << 10, HeaderTimeout: 15 * time.Second, IdleTimeout: 75 * time.Second, WriteTimeout: 10 * time.Second}
	for _, c := range []struct {
		name      string
		published []catalog.Limits // in the order of publication
		want      inbound.Limits
	}{
		{"none published", nil, own.Limits()},
		{"no limits", []catalog.Limits{{}}, own.Limits()},
		{
			"all limits, also over the default",
			[]catalog.Limits{{HeaderBytes: 128 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 20 * time.Second}},
			inbound.Limits{HeaderBytes: 128 << 10, HeaderTimeout: 3*time.Second + headerAllowance, IdleTimeout: 20 * time.Second, WriteTimeout: own.WriteTimeout},
		},
		{
			"a later configuration",
			[]catalog.Limits{{HeaderBytes: 128 << 10, IdleTimeout: time.Second}, {HeaderBytes: 1 << 10}},
			inbound.Limits{HeaderBytes: 1 << 10, HeaderTimeout: own.HeaderTimeout, IdleTimeout: own.IdleTimeout, WriteTimeout: own.WriteTimeout},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &Gateway{settings: Settings{Clients: own}}
			for i, limits := range c.published {
				g.catalog.Apply(&catalog.Snapshot{Version: uint64(i + 1), Limits: limits}, false)
			}
			is.New(t).Equal(g.clientLimits(), c.want)
		})
	}
}
