// Package settings loads a process's static settings from a YAML file.
//
// Loading is strict: an unknown field or a value of the wrong type is an error that names
// the file, line and field. After decoding, the Validate method of the settings returns
// Problems, each with the path of a field; Load adds the file and the line.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/rotisserie/eris"
)

// ErrInvalid is wrapped by every error about the content of a file.
var ErrInvalid = eris.New("settings: invalid")

// Problem is one invalid value: its position, the value and what is allowed.
type Problem struct {
	File    string
	Line    int    // 1-based, 0 where the field is absent
	Field   string // dotted path, as in link.listen
	Value   string
	Allowed string
}

// Error formats the problem as file:line: field: value, allowed range.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: value %q, allowed: %s", p.File, p.Line, p.Field, p.Value, p.Allowed)
}

// Validator is implemented by settings structs.
type Validator interface {
	// Validate returns every problem found; an empty result means valid.
	Validate() []Problem
}

// Load reads the file into out and validates it.
func Load(path string, out Validator) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "settings: read")
	}
	return Parse(path, raw, out)
}

// Parse decodes raw, which came from the named file, into out and validates it.
func Parse(path string, raw []byte, out Validator) error {
	if err := yaml.UnmarshalWithOptions(raw, out, yaml.Strict()); err != nil {
		return decodeError(path, raw, err)
	}
	file, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return eris.Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	problems := append(fractionProblems(file, reflect.TypeOf(out)), out.Validate()...)
	if len(problems) == 0 {
		return nil
	}
	errs := make([]error, 0, len(problems)+1)
	errs = append(errs, ErrInvalid)
	for _, p := range problems {
		p.File = path
		p.Line = lineOf(file, p.Field)
		errs = append(errs, p)
	}
	return errors.Join(errs...)
}

func decodeError(path string, raw []byte, err error) error {
	tok, allowed := (*token.Token)(nil), err.Error()
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		tok, allowed = syntax.GetToken(), syntax.GetMessage()
	} else {
		tok = findScalar(raw, err)
	}
	if tok == nil {
		return eris.Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	problem := Problem{File: path, Line: tok.Position.Line, Field: fieldName(tok.Value, tok.Prev), Value: tok.Value, Allowed: allowed}
	return errors.Join(ErrInvalid, problem)
}

// trailingQuoted matches the quoted value at the end of an error from a scalar parser such
// as time.ParseDuration, which does not report a position.
var trailingQuoted = regexp.MustCompile(`"([^"]*)"$`)

// findScalar returns the token of the value that a scalar parser's error quotes.
func findScalar(raw []byte, err error) *token.Token {
	match := trailingQuoted.FindStringSubmatch(err.Error())
	if match == nil {
		return nil
	}
	for _, tok := range lexer.Tokenize(string(raw)) {
		if tok.Value == match[1] {
			return tok
		}
	}
	return nil
}

// fieldName returns the key of an invalid value, or the value itself if the invalid token
// is the key.
func fieldName(value string, prev *token.Token) string {
	if prev == nil || prev.Type != token.MappingValueType || prev.Prev == nil {
		return value
	}
	return prev.Prev.Value
}

// lineOf returns the line of a dotted path, or of its nearest parent that is present.
func lineOf(file *ast.File, field string) int {
	for field != "" && file != nil {
		p, err := yaml.PathString("$." + field)
		if err == nil {
			if node, err := p.FilterFile(file); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 0
		}
		field = field[:cut]
	}
	return 0
}

// Checks collects the problems that a Validate method finds.
type Checks struct {
	Problems []Problem
}

func (c *Checks) add(field, value, allowed string) {
	c.Problems = append(c.Problems, Problem{Field: field, Value: value, Allowed: allowed})
}

// Require reports an empty value.
func (c *Checks) Require(field, value string) {
	if value == "" {
		c.add(field, value, "a non-empty name")
	}
}

// Address reports a value that is not an IP address with a port from 1 to 65535.
func (c *Checks) Address(field, value string) {
	ap, err := netip.ParseAddrPort(value)
	if err != nil || ap.Port() == 0 {
		c.add(field, value, "IP:port with a port from 1 to 65535")
	}
}

// Duration reports a value outside [low, high].
func (c *Checks) Duration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(field, value.String(), fmt.Sprintf("from %s to %s", low, high))
	}
}

// Int reports a value outside [low, high].
func (c *Checks) Int(field string, value, low, high int) {
	if value < low || value > high {
		c.add(field, fmt.Sprint(value), fmt.Sprintf("from %d to %d", low, high))
	}
}

// Float reports a value outside [low, high].
func (c *Checks) Float(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(field, fmt.Sprint(value), fmt.Sprintf("from %g to %g", low, high))
	}
}

// OneOf reports a value that is not one of the allowed values.
func (c *Checks) OneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	c.add(field, value, "one of "+strings.Join(allowed, ", "))
}

// Distinct reports each field whose non-empty value an earlier field already has.
func (c *Checks) Distinct(fields ...Field) {
	seen := make(map[string]string, len(fields))
	for _, f := range fields {
		first, dup := seen[f.Value]
		if dup && f.Value != "" {
			c.add(f.Name, f.Value, "an address that "+first+" does not use")
			continue
		}
		seen[f.Value] = f.Name
	}
}

// Field is a named value, for checks that compare several fields.
type Field struct {
	Name, Value string
}
