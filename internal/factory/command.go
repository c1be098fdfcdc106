package factory

import (
	"context"
	"flag"
	"os"
	"slices"

	"github.com/google/subcommands"
)

// Command is one verb; it implements subcommands.Command.
type Command struct {
	Factory *Factory
	Verb    string
	Summary string
	// Help holds the synopsis and an example.
	Help  string
	Flags func(*flag.FlagSet)
	Run   func(ctx context.Context, arguments []string) error
}

// Name returns the verb.
func (c *Command) Name() string { return c.Verb }

// Synopsis returns the summary.
func (c *Command) Synopsis() string { return c.Summary }

// Usage returns the help text.
func (c *Command) Usage() string { return c.Help + "\nFlags:\n" }

// SetFlags adds the flags of the command and --settings.
func (c *Command) SetFlags(flags *flag.FlagSet) {
	if flags.Output() == os.Stderr {
		flags.SetOutput(c.Factory.Err)
	}
	flags.StringVar(&c.Factory.SettingsFile, "settings", c.Factory.SettingsFile, "settings `file`")
	if c.Flags != nil {
		c.Flags(flags)
	}
}

// Execute runs the command, prints its error and returns the exit code.
func (c *Command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	arguments, err := interleaved(flags)
	if err != nil {
		return ExitUsage
	}
	err = c.Run(ctx, arguments)
	code := ExitCode(err)
	if err != nil {
		c.Factory.Warnf("bergamothollow: %v%s\n", err, advice(err))
	}
	if code == ExitUsage {
		c.Factory.Warnf("\n%s", c.Help)
	}
	return code
}

// interleaved accepts flags after arguments; the flag package stops at the first argument.
func interleaved(flags *flag.FlagSet) ([]string, error) {
	var arguments []string
	for flags.NArg() > 0 {
		arguments = append(arguments, flags.Arg(0))
		if err := flags.Parse(flags.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return arguments, nil
}

// Noun groups the verbs on one thing, since the library has no nested commands; it implements subcommands.Command.
type Noun struct {
	Factory *Factory
	Noun    string
	Summary string
	Verbs   []subcommands.Command
}

// Name returns the noun.
func (n *Noun) Name() string { return n.Noun }

// Synopsis returns the summary.
func (n *Noun) Synopsis() string { return n.Summary }

// Usage lists the verbs.
func (n *Noun) Usage() string {
	text := "bergamothollow " + n.Noun + " <verb>: " + n.Summary + "\n\nVerbs:\n"
	for _, verb := range n.Verbs {
		text += "  " + verb.Name() + "\t" + verb.Synopsis() + "\n"
	}
	return text + "\nUse `bergamothollow " + n.Noun + " <verb> --help` for flags and an example.\n"
}

// SetFlags adds no flags; the verbs have theirs.
func (n *Noun) SetFlags(flags *flag.FlagSet) {
	flags.SetOutput(n.Factory.Err)
}

// Execute runs the verb.
func (n *Noun) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return n.Factory.execute(ctx, "bergamothollow "+n.Noun, n.Verbs, flags.Args(), n.Usage)
}

// Execute runs the command that the arguments name and returns its exit code.
func (f *Factory) Execute(ctx context.Context, commands []subcommands.Command, arguments []string) int {
	return int(f.execute(ctx, "bergamothollow", commands, arguments, nil))
}

func (f *Factory) execute(ctx context.Context, name string, commands []subcommands.Command, arguments []string, usage func() string) subcommands.ExitStatus {
	top := flag.NewFlagSet(name, flag.ContinueOnError)
	top.SetOutput(f.Err)
	commander := subcommands.NewCommander(top, name)
	commander.Output = f.Out
	commander.Error = f.Err
	for _, command := range commands {
		commander.Register(command, "")
	}
	commander.Register(commander.HelpCommand(), "")
	if usage != nil {
		top.Usage = func() { f.Warnf("%s", usage()) }
	}
	if usage == nil {
		top.StringVar(&f.SettingsFile, "settings", f.SettingsFile, "settings file")
		commander.ImportantFlag("settings")
		commander.Register(commander.FlagsCommand(), "")
	}
	if err := top.Parse(helpFirst(arguments)); err != nil {
		return ExitUsage
	}
	// What is left starts with a command; its help flag counts although flags stood before it.
	_ = top.Parse(helpFirst(top.Args()))
	return commander.Execute(ctx)
}

// helpFirst turns a help flag into the help command, which prints to the output and succeeds.
func helpFirst(arguments []string) []string {
	for i, argument := range arguments {
		if i > 1 || !slices.Contains([]string{"-h", "-help", "--help"}, argument) {
			continue
		}
		return append([]string{"help"}, arguments[:i]...)
	}
	return arguments
}
