package factory

import (
	"context"
	"flag"
	"os"
	"slices"

	"github.com/google/subcommands"
)

// Command is a command without subcommands, unlike Group; it implements subcommands.Command.
type Command struct {
	Factory *Factory
	Verb    string
	Summary string
	// Help is the usage line, a description and an example.
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

// Execute runs the command, prints its error and returns the exit code. After a usage error it also prints the help text.
func (c *Command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	arguments, err := parseInterleaved(flags)
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

// parseInterleaved parses the flags that follow arguments, since the flag package stops at the first argument. It
// returns the arguments.
func parseInterleaved(flags *flag.FlagSet) ([]string, error) {
	var arguments []string
	for flags.NArg() > 0 {
		arguments = append(arguments, flags.Arg(0))
		if err := flags.Parse(flags.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return arguments, nil
}

// Group is a command that has subcommands, like bundle in "bundle create". The library has no nested commands. Group
// implements subcommands.Command.
type Group struct {
	Factory *Factory
	// Noun is the name of the group; Verbs are its subcommands.
	Noun    string
	Summary string
	Verbs   []subcommands.Command
}

// Name returns the noun.
func (g *Group) Name() string { return g.Noun }

// Synopsis returns the summary.
func (g *Group) Synopsis() string { return g.Summary }

// Usage lists the subcommands.
func (g *Group) Usage() string {
	text := "bergamothollow " + g.Noun + " <verb>: " + g.Summary + "\n\nVerbs:\n"
	for _, verb := range g.Verbs {
		text += "  " + verb.Name() + "\t" + verb.Synopsis() + "\n"
	}
	return text + "\nUse `bergamothollow " + g.Noun + " <verb> --help` for flags and an example.\n"
}

// SetFlags adds no flags, since each subcommand has its own.
func (g *Group) SetFlags(flags *flag.FlagSet) {
	flags.SetOutput(g.Factory.Err)
}

// Execute runs the subcommand that the arguments name.
func (g *Group) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return g.Factory.execute(ctx, "bergamothollow "+g.Noun, g.Verbs, flags.Args(), g.Usage)
}

// Execute runs the command that the arguments name and returns the exit code.
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
	if err := top.Parse(rewriteHelpFlag(arguments)); err != nil {
		return ExitUsage
	}
	// The remaining arguments start with a command, whose help flag was not found above if flags preceded the command.
	_ = top.Parse(rewriteHelpFlag(top.Args()))
	return commander.Execute(ctx)
}

// rewriteHelpFlag turns a help flag among the first two arguments into the help command, which prints to the output and
// succeeds.
func rewriteHelpFlag(arguments []string) []string {
	for i, argument := range arguments {
		if i > 1 || !slices.Contains([]string{"-h", "-help", "--help"}, argument) {
			continue
		}
		return append([]string{"help"}, arguments[:i]...)
	}
	return arguments
}
