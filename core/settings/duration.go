package settings

import (
	"time"

	"github.com/goccy/go-yaml/token"
)

// Or returns value, or fallback where value is zero. It applies defaults.
func Or[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Duration is a time.Duration; a YAML value needs its unit, as in 250ms.
type Duration = time.Duration

// fieldName returns the key that a wrong value stands behind, or the value
// itself where the wrong token is the key.
func fieldName(value string, prev *token.Token) string {
	if prev == nil || prev.Type != token.MappingValueType || prev.Prev == nil {
		return value
	}
	return prev.Prev.Value
}
