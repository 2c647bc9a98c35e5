package rig

import (
	"encoding/json"
	"os"
	"regexp"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z.-]+)\}\}\n(.*?)\{\{/[a-z.-]+\}\}\n`)
	placeholder = regexp.MustCompile(`\{\{([a-z.-]+)(\|json)?\}\}`)
)

// fill fills in a settings template of the deploy file as the platform does: placeholders,
// and sections that are left out if their field has no value.
func fill(path string, fields map[string]any) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	text := section.ReplaceAllStringFunc(string(raw), func(s string) string {
		parts := section.FindStringSubmatch(s)
		if _, ok := fields[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		parts := placeholder.FindStringSubmatch(s)
		value, ok := fields[parts[1]]
		if !ok {
			return ""
		}
		if text, plain := value.(string); plain && parts[2] == "" {
			return text
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err) // not reached: the fields are plain values
		}
		return string(encoded)
	}), nil
}
