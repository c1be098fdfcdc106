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

Print the log lines of one request in the order of their times. Lines that its instances logged
meanwhile and that belong to no request are included and marked with a dot. Reads the log of one
or more instances from a file or from standard input.

Examples:
  bergamothollow trace 9c41d07be2a35f68 --log instance.log
  cat pier-*.log | bergamothollow trace 9c41d07be2a35f68 --json
`

// maxLineBytes is the length of the longest log line that can be read.
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
		Summary: "print the log lines of one request",
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

// NotFoundError means that the log has no line of the request.
type NotFoundError struct {
	Request string
}

// Error says where else to look.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("the log has no line of request %q: give the logs of all instances that the caller may have used", e.Request)
}

// entry is one line of a log.
type entry struct {
	time   string
	fields map[string]any
	// background is set for a line that belongs to no request.
	background bool
}

func run(o Options, arguments []string) error {
	request, err := factory.OneArgument("the request to trace", arguments)
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

// read returns the lines of a request, together with the background lines of its instances between its first and last
// line, in the order of their times.
func read(input io.Reader, request string) ([]entry, error) {
	var matching, background []entry
	instances := map[string]bool{}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		e, ok := parse(scanner.Bytes())
		switch {
		case !ok:
		case e.fields["request"] == request:
			instances[e.instance()] = true
			matching = append(matching, e)
		case e.fields["request"] == nil:
			e.background = true
			background = append(background, e)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	if len(matching) == 0 {
		return nil, &NotFoundError{
			Request: request,
		}
	}
	sortByTime(matching)
	first, last := matching[0].time, matching[len(matching)-1].time
	for _, e := range background {
		if instances[e.instance()] && e.time >= first && e.time <= last {
			matching = append(matching, e)
		}
	}
	sortByTime(matching)
	return matching, nil
}

func sortByTime(entries []entry) {
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].time < entries[j].time })
}

// parse decodes the JSON object of one line and skips any text before it, such as the prefix of a log collector.
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

// text formats an entry as time, message and fields, with a dot before the message of a background line.
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
