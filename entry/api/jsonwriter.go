package api

import (
	"encoding/json"
	"io"
	"net/http"
)

// jsonWriter writes a JSON answer piece by piece, so that a long one is never in memory as a whole. It
// writes nothing after the first error.
type jsonWriter struct {
	w   io.Writer
	err error
}

// newJSONWriter begins an answer with status 200.
func newJSONWriter(w http.ResponseWriter) *jsonWriter {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	return &jsonWriter{w: w}
}

// raw writes text that is JSON already.
func (j *jsonWriter) raw(text string) { j.write([]byte(text)) }

// value writes a value as JSON.
func (j *jsonWriter) value(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		j.err = err
		return
	}
	j.write(raw)
}

func (j *jsonWriter) write(raw []byte) {
	if j.err == nil {
		_, j.err = j.w.Write(raw)
	}
}

// writeElements writes the elements of a JSON array, each as the function shows it.
func writeElements[T, V any](j *jsonWriter, elements []T, show func(T) V) {
	for i, e := range elements {
		if j.err != nil {
			return
		}
		if i > 0 {
			j.raw(",")
		}
		j.value(show(e))
	}
}
