package roller

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Parse reads a bundle file and validates it; unknown keys are rejected.
func Parse(file string, content []byte) (Bundle, error) {
	var b Bundle
	err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&b)
	switch {
	case errors.Is(err, io.EOF):
		return Bundle{}, &ParseError{
			File:  file,
			Line:  1,
			Cause: "the file has no content: write a bundle to it",
		}
	case err != nil:
		return Bundle{}, locateDecodeError(file, content, err)
	}
	if err := b.Validate(); err != nil {
		return Bundle{}, locateFieldError(file, content, err)
	}
	return b, nil
}

func locateDecodeError(file string, content []byte, err error) error {
	located := &ParseError{
		File:  file,
		Line:  1,
		Cause: err.Error(),
	}
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) || yamlErr.GetToken() == nil {
		locateDuration(located, content)
		return located
	}
	located.Line = yamlErr.GetToken().Position.Line
	located.Cause = yamlErr.GetMessage()
	located.Field = fieldAt(content, located.Line)
	var unknown *yaml.UnknownFieldError
	switch {
	case errors.As(err, &unknown):
		located.Cause = "unknown key: remove it or correct its spelling"
	case strings.Contains(yamlErr.GetMessage(), "already defined"):
		// The parser rejects the whole content, so the path of the token is unknown.
		located.Field = yamlErr.GetToken().Value
	}
	return located
}

// fieldAt returns the path of the first key on a line, empty if the content cannot be parsed.
func fieldAt(content []byte, line int) string {
	root, err := parseRoot(content)
	if err != nil {
		return ""
	}
	finder := &lineFinder{
		line: line,
	}
	ast.Walk(finder, root)
	return finder.path
}

type lineFinder struct {
	line int
	path string
}

// Visit records the path of the first key on the line.
func (f *lineFinder) Visit(node ast.Node) ast.Visitor {
	entry, ok := node.(*ast.MappingValueNode)
	if ok && f.path == "" && entry.Key.GetToken().Position.Line == f.line {
		f.path = strings.TrimPrefix(entry.Key.GetPath(), "$.")
	}
	return f
}

func locateFieldError(file string, content []byte, err error) error {
	var field *FieldError
	if !errors.As(err, &field) {
		return err
	}
	return &ParseError{
		File:  file,
		Line:  lineOf(content, field.Path),
		Field: field.Name(),
		Cause: field.Fault(),
		Err:   field,
	}
}

// lineOf returns the line of the path, or of its deepest part that exists in the file.
func lineOf(content []byte, path []string) int {
	node, err := parseRoot(content)
	if err != nil {
		return 1
	}
	line := 1
	for _, part := range path {
		var found int
		node, found = child(node, part)
		if node == nil {
			break
		}
		line = found
	}
	return line
}

// child returns the node at a key or index of node, and its first line.
func child(node ast.Node, part string) (ast.Node, int) {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, entry := range n.Values {
			if entry.Key.String() == part {
				return entry.Value, entry.Key.GetToken().Position.Line
			}
		}
	case *ast.SequenceNode:
		i, err := strconv.Atoi(part)
		if err == nil && i < len(n.Values) {
			return n.Values[i], n.Values[i].GetToken().Position.Line
		}
	}
	return nil, 0
}

// locateDuration locates an invalid duration, because the decoder's error does not contain its position.
func locateDuration(located *ParseError, content []byte) {
	root, err := parseRoot(content)
	if err != nil {
		return
	}
	rules, _ := child(root, "rules")
	for _, field := range []string{"default_deadline", "max_deadline"} {
		value, line := child(rules, field)
		if value == nil {
			continue
		}
		if _, err := time.ParseDuration(value.String()); err != nil {
			located.Line = line
			located.Field = "rules." + field
			located.Cause = "invalid duration: use a value such as 30s or 5m"
			return
		}
	}
}

func parseRoot(content []byte) (ast.Node, error) {
	tree, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, err
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil, io.EOF
	}
	return tree.Docs[0].Body, nil
}
