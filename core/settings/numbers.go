package settings

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// fractionProblems returns a problem for each fractional number given for an integer
// field: the YAML library truncates such numbers without an error.
func fractionProblems(file *ast.File, target reflect.Type) []Problem {
	f := &fractionFinder{target: target}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			ast.Walk(f, doc.Body)
		}
	}
	return f.problems
}

// fractionFinder is an ast.Visitor that collects fractional values of integer fields.
type fractionFinder struct {
	target   reflect.Type
	problems []Problem
}

// Visit implements ast.Visitor.
func (f *fractionFinder) Visit(node ast.Node) ast.Visitor {
	number, ok := node.(*ast.FloatNode)
	if !ok {
		return f
	}
	field := strings.TrimPrefix(node.GetPath(), "$.")
	if t := fieldType(f.target, strings.Split(field, ".")); t != nil && isInteger(t.Kind()) {
		f.problems = append(f.problems, Problem{Field: field, Value: number.GetToken().Value, Allowed: "a whole number"})
	}
	return f
}

func isInteger(k reflect.Kind) bool {
	return k >= reflect.Int && k <= reflect.Uintptr
}

// inlineOption marks a struct whose fields belong to the struct that it is in.
const inlineOption = "inline"

// fieldType returns the type of the field at a path of YAML names, or nil if there is no
// such field.
func fieldType(t reflect.Type, path []string) reflect.Type {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if len(path) == 0 {
		return t
	}
	name, _, indexed := strings.Cut(path[0], "[")
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			tag, options, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
			if tag == name {
				return element(t.Field(i).Type, indexed, path[1:])
			}
			if options != inlineOption {
				continue
			}
			if found := fieldType(t.Field(i).Type, path); found != nil {
				return found
			}
		}
	case reflect.Map:
		return fieldType(t.Elem(), path[1:])
	}
	return nil
}

func element(t reflect.Type, indexed bool, rest []string) reflect.Type {
	if indexed && t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return fieldType(t, rest)
}
