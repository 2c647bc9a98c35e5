package process

import (
	"bytes"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// watchInterval is how often a file is looked at that may change without a
// signal: well inside the seconds that operators allow for a change.
const watchInterval = time.Second

// WatchFile calls changed with the content of the file whenever it differs from
// before, looking at it periodically and on SIGHUP. The function returned ends
// that.
func WatchFile(path string, log zerolog.Logger, changed func(path string, raw []byte)) (stop func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	done := make(chan struct{})
	var once sync.Once
	go func() {
		last, _ := os.ReadFile(path) // it was read a moment ago
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-hangup:
				log.Info().Str("path", path).Msg("told to reload")
			case <-ticker.C:
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				log.Error().Err(err).Msg("settings file not read, the old settings stay in force")
				continue
			}
			if !bytes.Equal(raw, last) {
				last = raw
				changed(path, raw)
			}
		}
	}()
	return func() {
		once.Do(func() {
			signal.Stop(hangup)
			close(done)
		})
	}
}
