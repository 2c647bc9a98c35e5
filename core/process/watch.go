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

// watchInterval is the interval at which a watched file is read, as it may change without
// a signal. It is well below the few seconds within which operators expect a change to
// take effect.
const watchInterval = time.Second

// WatchFile reads the file periodically and on SIGHUP, and calls changed with its content
// whenever it differs from the previous read. The returned function stops watching.
func WatchFile(path string, log zerolog.Logger, changed func(path string, raw []byte)) (stop func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	done := make(chan struct{})
	var once sync.Once
	go func() {
		last, _ := os.ReadFile(path) // the caller has just loaded this content
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-hangup:
				log.Info().Str("path", path).Msg("SIGHUP received; reloading the settings file")
			case <-ticker.C:
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				log.Error().Err(err).Msg("settings file could not be read; keeping the current settings")
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
