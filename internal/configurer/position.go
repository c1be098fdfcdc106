package configurer

import (
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// fieldFinder looks for the field whose key or value starts at an offset.
type fieldFinder struct {
	offset int
	field  string
}

// dottedPath converts a path of the YAML library into the form that ErrorAt takes, such as targets[0].id into
// targets.0.id.
var dottedPath = strings.NewReplacer("[", ".", "]", "")

// Visit implements ast.Visitor.
func (f *fieldFinder) Visit(node ast.Node) ast.Visitor {
	value, ok := node.(*ast.MappingValueNode)
	if !ok {
		return f
	}
	for _, part := range []ast.Node{value.Key, value.Value} {
		if part.GetToken().Position.Offset == f.offset {
			f.field = dottedPath.Replace(strings.TrimPrefix(value.GetPath(), "$."))
		}
	}
	return f
}

// fieldAt returns the path of the field whose key or value starts at the offset, or an empty string.
func fieldAt(tree *ast.File, offset int) string {
	if tree == nil {
		return ""
	}
	f := fieldFinder{
		offset: offset,
	}
	for _, document := range tree.Docs {
		ast.Walk(&f, document.Body)
	}
	return f.field
}

// lineOf returns the line of the field, or of the innermost enclosing field if the file does not set it.
func lineOf(tree *ast.File, keys []string) int {
	line := 1
	if len(tree.Docs) == 0 {
		return line
	}
	node := tree.Docs[0].Body
	for _, key := range keys {
		if list, ok := node.(*ast.SequenceNode); ok {
			node = element(list, key)
			if node == nil {
				return line
			}
			line = node.GetToken().Position.Line
			continue
		}
		value := child(node, key)
		if value == nil {
			return line
		}
		line = value.Key.GetToken().Position.Line
		node = value.Value
	}
	return line
}

func element(list *ast.SequenceNode, key string) ast.Node {
	i, err := strconv.Atoi(key)
	if err != nil || i < 0 || i >= len(list.Values) {
		return nil
	}
	return list.Values[i]
}

func child(node ast.Node, key string) *ast.MappingValueNode {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		return nil
	}
	for entries := mapping.MapRange(); entries.Next(); {
		value := entries.KeyValue()
		if value.Key.GetToken().Value == key {
			return value
		}
	}
	return nil
}
