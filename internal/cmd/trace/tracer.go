package tracer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/factory"
)

const help = `bergamothollow trace REQUEST [--log FILE] [--json]

Print what the log says of one request, in the order in which it happened, and what the instance
knew at the time. Reads the log of one or more instances from a file or from standard input.

Examples:
  bergamothollow trace 9c41d07be2a35f68 --log instance.log
  cat pier-*.log | bergamothollow trace 9c41d07be2a35f68 --json
`

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Options are the arguments and flags of the command.
type Options struct {
	Factory *factory.Factory
	Log     string
	JSON    bool
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := &Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "trace",
		Summary: "follow one request through a log",
		Help:    help,
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&o.Log, "log", "", "log `file`; standard input if empty")
			flags.BoolVar(&o.JSON, "json", false, "print the lines as a JSON list")
		},
		Run: func(_ context.Context, arguments []string) error {
			return run(*o, arguments)
		},
	}
}

// NotFoundError means that the log does not name the request.
type NotFoundError struct {
	Request string
}

// Error says where else to look.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("the log does not name request %q: give the logs of all instances that the caller may have used", e.Request)
}

// entry is one line of a log.
type entry struct {
	time   string
	fields map[string]any
	// background lines are about the instance, not the request.
	background bool
}

func run(o Options, arguments []string) error {
	request, err := factory.OneArgument("the request to follow", arguments)
	if err != nil {
		return err
	}
	input := o.Factory.In
	if o.Log != "" {
		file, err := os.Open(o.Log)
		if err != nil {
			return fmt.Errorf("open the log (name another with --log): %w", err)
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	entries, err := read(input, request)
	if err != nil {
		return err
	}
	if o.JSON {
		lines := make([]map[string]any, 0, len(entries))
		for _, e := range entries {
			lines = append(lines, e.fields)
		}
		return o.Factory.JSON(lines)
	}
	for _, e := range entries {
		o.Factory.Printf("%s\n", e.text())
	}
	return nil
}

// read returns the lines about a request, with what its instances logged of themselves between its first and last line.
func read(input io.Reader, request string) ([]entry, error) {
	var about, background []entry
	instances := map[string]bool{}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		e, ok := parse(scanner.Bytes())
		switch {
		case !ok:
		case e.fields["request"] == request:
			instances[e.instance()] = true
			about = append(about, e)
		case e.fields["request"] == nil:
			e.background = true
			background = append(background, e)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	if len(about) == 0 {
		return nil, &NotFoundError{
			Request: request,
		}
	}
	sortByTime(about)
	first, last := about[0].time, about[len(about)-1].time
	for _, e := range background {
		if instances[e.instance()] && e.time >= first && e.time <= last {
			about = append(about, e)
		}
	}
	sortByTime(about)
	return about, nil
}

func sortByTime(entries []entry) {
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].time < entries[j].time })
}

// parse reads one line; what stands before its JSON, such as a collector's prefix, is skipped.
func parse(line []byte) (entry, bool) {
	_, object, found := bytes.Cut(line, []byte("{"))
	if !found {
		return entry{}, false
	}
	e := entry{
		fields: map[string]any{},
	}
	if json.Unmarshal(append([]byte("{"), object...), &e.fields) != nil {
		return entry{}, false
	}
	e.time, _ = e.fields["time"].(string)
	return e, true
}

func (e *entry) instance() string {
	name, _ := e.fields["instance"].(string)
	return name
}

// text prints time, message and fields.
func (e *entry) text() string {
	var b strings.Builder
	mark := " "
	if e.background {
		mark = "."
	}
	message, _ := e.fields["message"].(string)
	fmt.Fprintf(&b, "%s %s %-28s", e.time, mark, message)
	names := make([]string, 0, len(e.fields))
	for name := range e.fields {
		switch name {
		case "time", "message", "level", "request":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, e.fields[name])
	}
	return b.String()
}
