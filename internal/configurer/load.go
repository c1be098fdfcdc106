package configurer

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// FieldError means that a field of a YAML file is missing or invalid.
type FieldError struct {
	File  string
	Line  int
	Field string
	// Problem says what is wrong and how to correct it.
	Problem string
}

// Error names the file, the line, the field and the problem.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// FileError means that the settings file could not be read.
type FileError struct {
	File  string
	Cause error
}

// Error names the file and says what to do.
func (e *FileError) Error() string {
	return fmt.Sprintf("cannot read settings file %s (%v): create it or name another with --settings", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error {
	return e.Cause
}

// Load reads and checks settings; if the key instance is set, the other keys of an instance are required too.
func Load(file string) (Settings, error) {
	return loadChecked(file, func(c *checker, s Settings) error {
		return c.check(s, s.Instance != "")
	})
}

// LoadInstance is Load for a file that must have all keys of an instance.
func LoadInstance(file string) (Settings, error) {
	return loadChecked(file, func(c *checker, s Settings) error {
		return c.check(s, true)
	})
}

// LoadGateway is Load for a file that must have all keys of a gateway, an instance on the users' platform.
func LoadGateway(file string) (Settings, error) {
	return loadChecked(file, (*checker).checkGateway)
}

func loadChecked(file string, check func(*checker, Settings) error) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &FileError{
			File:  file,
			Cause: err,
		}
	}
	return parse(file, content, check)
}

func parse(file string, content []byte, check func(*checker, Settings) error) (Settings, error) {
	settings := Defaults()
	document, err := Decode(file, content, &settings)
	if err != nil {
		return Settings{}, err
	}
	if settings.Advertise.Callers == "" {
		settings.Advertise.Callers = settings.Listen.Callers
	}
	if settings.Advertise.Peers == "" {
		settings.Advertise.Peers = settings.Listen.Peers
	}
	c := checker{
		document: document,
	}
	return settings, check(&c, settings)
}

// Document is a decoded YAML file with the line numbers of its fields.
type Document struct {
	file string
	tree *ast.File
}

// Decode decodes YAML into a value. It fails with a FieldError, also for unknown keys.
func Decode(file string, content []byte, into any) (*Document, error) {
	tree, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, fieldError(file, nil, err)
	}
	err = yaml.UnmarshalWithOptions(content, into,
		yaml.Strict(), yaml.CustomUnmarshaler(decodeKey), yaml.CustomUnmarshaler(decodeDuration))
	if err != nil {
		return nil, fieldError(file, tree, err)
	}
	return &Document{
		file: file,
		tree: tree,
	}, nil
}

// ErrorAt returns an error for a field, given as keys and list positions joined by dots.
func (d *Document) ErrorAt(field, problem string) *FieldError {
	return &FieldError{
		File:    d.file,
		Line:    lineOf(d.tree, strings.Split(field, ".")),
		Field:   field,
		Problem: problem,
	}
}

// decodeKey decodes a base64 public key. It leaves an invalid key empty, so that the check reports it with its line.
func decodeKey(key *ed25519.PublicKey, content []byte) error {
	var text string
	if err := yaml.Unmarshal(content, &text); err != nil {
		return err
	}
	decoded, err := base64.StdEncoding.DecodeString(text)
	if err == nil && len(decoded) == ed25519.PublicKeySize {
		*key = decoded
	}
	return nil
}

// invalidDuration is the value of a duration that cannot be parsed, so that the check reports it with its line.
const invalidDuration = time.Duration(math.MinInt64)

// decodeDuration decodes a duration with a unit; the YAML library would read a number without one as nanoseconds.
func decodeDuration(d *time.Duration, content []byte) error {
	var text string
	if err := yaml.Unmarshal(content, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		parsed = invalidDuration
	}
	*d = parsed
	return nil
}

// fieldError turns an error of the YAML library into a FieldError.
func fieldError(file string, tree *ast.File, err error) error {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) || yamlErr.GetToken() == nil {
		return &FieldError{
			File:    file,
			Line:    1,
			Problem: err.Error(),
		}
	}
	position := yamlErr.GetToken().Position
	return &FieldError{
		File:    file,
		Line:    position.Line,
		Field:   fieldAt(tree, position.Offset),
		Problem: describe(yamlErr),
	}
}

func describe(yamlErr yaml.Error) string {
	var unknown *yaml.UnknownFieldError
	if errors.As(yamlErr, &unknown) {
		return "unknown key: remove it or correct its name (docs/settings.md lists all keys)"
	}
	var wrongType *yaml.TypeError
	if errors.As(yamlErr, &wrongType) {
		return fmt.Sprintf("the value has the wrong type (expected %s): see docs/settings.md", wrongType.DstType)
	}
	return yamlErr.GetMessage() + ": correct it"
}
