package factory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"bergamothollow.example/bergamothollow/internal/changer"
	"bergamothollow.example/bergamothollow/internal/configurer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// DefaultSettingsFile is read unless --settings names another file.
const DefaultSettingsFile = "bergamothollow.yaml"

// pageSize is the number of objects of one list call: at 1 MB each, a page arrives within the platform's timeout.
const pageSize = 50

// Factory holds the streams, the clock, the settings file and the store connection that commands use.
type Factory struct {
	In           io.Reader
	Out          io.Writer
	Err          io.Writer
	Clock        timer.Clock
	SettingsFile string
	// OpenStore connects to the platform; tests replace it.
	OpenStore func(configurer.Settings) (storer.Store, error)
}

// New returns a factory with the system clock and the platform's HTTP client.
func New(in io.Reader, out, err io.Writer) *Factory {
	return &Factory{
		In:           in,
		Out:          out,
		Err:          err,
		Clock:        timer.System{},
		SettingsFile: DefaultSettingsFile,
		OpenStore: func(s configurer.Settings) (storer.Store, error) {
			return storer.NewHTTP(s.Platform.Address, s.Platform.Timeout)
		},
	}
}

// Settings reads and checks the settings file.
func (f *Factory) Settings() (configurer.Settings, error) {
	return configurer.Load(f.SettingsFile)
}

// Operator reads the settings and fails with a FieldError if they have no operator.
func (f *Factory) Operator() (configurer.Settings, error) {
	settings, err := f.Settings()
	if err == nil && settings.Operator == "" {
		err = &configurer.FieldError{
			File:    f.SettingsFile,
			Line:    1,
			Field:   "operator",
			Problem: "required for changes: set it to your name",
		}
	}
	return settings, err
}

// Store reads the settings and connects to the platform that they name.
func (f *Factory) Store() (storer.Store, error) {
	settings, err := f.Settings()
	if err != nil {
		return nil, err
	}
	return f.OpenStore(settings)
}

// Changer returns a changer, which makes conditional changes to the store.
func (f *Factory) Changer(store storer.Store) changer.Changer {
	return changer.Changer{
		Store: store,
		Clock: f.Clock,
	}
}

// Printf writes to the output.
func (f *Factory) Printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(f.Out, format, arguments...)
}

// Warnf writes to the error stream.
func (f *Factory) Warnf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(f.Err, format, arguments...)
}

// JSON prints a value as indented JSON.
func (f *Factory) JSON(value any) error {
	encoder := json.NewEncoder(f.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Table prints rows in aligned columns; the first row is the header.
func (f *Factory) Table(rows [][]any) error {
	w := tabwriter.NewWriter(f.Out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

// Entry is a decoded object with its name and version.
type Entry[V any] struct {
	Name    string
	Version int64
	Value   V
}

// Read returns one decoded object. If the object does not exist, its version is 0 and there is no error.
func Read[V any](ctx context.Context, store storer.Store, kind storer.Kind, name string) (Entry[V], error) {
	object, err := store.Get(ctx, kind, name)
	if isNotFound(err) {
		return Entry[V]{
			Name: name,
		}, nil
	}
	if err != nil {
		return Entry[V]{}, err
	}
	return Decode[V](object)
}

// List returns all decoded objects of a kind, page by page.
func List[V any](ctx context.Context, store storer.Store, kind storer.Kind) ([]Entry[V], error) {
	var entries []Entry[V]
	after := ""
	for {
		page, err := store.List(ctx, kind, "", after, pageSize)
		if err != nil {
			return nil, err
		}
		for _, object := range page.Items {
			entry, err := Decode[V](object)
			if err != nil {
				return nil, err
			}
			entries = append(entries, entry)
			after = object.Name
		}
		if len(page.Items) < pageSize {
			return entries, nil
		}
	}
}

// Decode decodes the value of an object; it fails with a ValueError.
func Decode[V any](object storer.Object) (Entry[V], error) {
	entry := Entry[V]{
		Name:    object.Name,
		Version: object.Number,
	}
	if err := json.Unmarshal(object.Value, &entry.Value); err != nil {
		return Entry[V]{}, &ValueError{
			Kind:  object.Kind,
			Name:  object.Name,
			Cause: err,
		}
	}
	return entry, nil
}

// Write writes to a file, or to the output if file is empty.
func (f *Factory) Write(file string, content []byte) error {
	if file == "" {
		_, err := f.Out.Write(content)
		return err
	}
	return os.WriteFile(file, content, 0o644)
}
