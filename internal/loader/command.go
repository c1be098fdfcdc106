package loader

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Exit codes of the loader.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Run runs the loader with command line arguments and returns its exit code, 1 if an answer was wrong or lost.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	o, asJSON, err := parse(arguments, stderr)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "loader: %v\n", err)
		return exitUsage
	}
	l, err := New(o)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "loader: %v\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report := l.Run(ctx)
	if asJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(report) // fails only if stdout is closed, where it cannot be reported
	} else {
		report.print(stdout)
	}
	if report.Completions.Wrong+report.Completions.Lost+report.Calls.Wrong+report.Calls.Lost > 0 {
		return exitFailure
	}
	return exitOK
}

func parse(arguments []string, stderr io.Writer) (Options, bool, error) {
	flags := flag.NewFlagSet("loader", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		_, _ = fmt.Fprintln(stderr, "Example: loader run --instances 127.0.0.1:8000,127.0.0.1:8001 --rate 20 --duration 30s --json")
		flags.PrintDefaults()
	}
	if len(arguments) > 0 && arguments[0] == "run" {
		arguments = arguments[1:]
	}
	var o Options
	instances := flags.String("instances", "127.0.0.1:8000", "addresses of instances that are asked for the addresses to use, separated by commas")
	customers := flags.String("customers", "", "customers with weights, such as studio-a=8,studio-b=1 (default: ten, three of them large)")
	asJSON := flags.Bool("json", false, "print the report as JSON")
	flags.StringVar(&o.Model, "model", "default", "model to ask for")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of lengths, customers and arrivals")
	flags.Float64Var(&o.Rate, "rate", 10, "prompts per second")
	flags.Float64Var(&o.CallRate, "call-rate", 0, "service calls per second")
	flags.DurationVar(&o.Duration, "duration", 10*time.Second, "how long new requests are sent")
	flags.DurationVar(&o.Deadline, "deadline", time.Minute, "deadline of each request")
	flags.DurationVar(&o.Silence, "silence", 10*time.Second, "how long a stream may send nothing after its first event before the loader reconnects")
	flags.StringVar(&o.Service, "service", "ledger", "service to call")
	flags.StringVar(&o.Call, "call", "payout", "call to send")
	flags.IntVar(&o.Concurrency, "concurrency", 5000, "maximum number of requests under way")
	flags.IntVar(&o.Callers, "callers", 20, "number of simulated callers, each with its own address cache")
	flags.IntVar(&o.Mix.ShortMedian, "short-median", 2500, "median prompt length of the requests that are not long, in tokens")
	flags.IntVar(&o.Mix.LongEvery, "long-every", 50, "one prompt in this many is long (100,000 tokens and more); 0 means none")
	flags.IntVar(&o.Mix.MaxPrompt, "max-prompt", maxLongPrompt, "longest prompt in tokens")
	flags.IntVar(&o.Mix.OutputMedian, "output-median", 150, "median output in tokens")
	flags.IntVar(&o.Mix.MaxOutput, "max-output", 600, "longest output in tokens")
	flags.BoolVar(&o.Mix.DeclareOnly, "declare-only", false, "send a short text and only declare the prompt's length in tokens, to save bytes")
	if err := flags.Parse(arguments); err != nil {
		return Options{}, false, err
	}
	if flags.NArg() > 0 {
		return Options{}, false, fmt.Errorf("unexpected argument %q: every setting is a flag", flags.Arg(0))
	}
	o.Instances = strings.Split(*instances, ",")
	var err error
	o.Mix.Customers, err = parseCustomers(*customers)
	if o.Concurrency <= 0 || o.Callers <= 0 || o.Mix.MaxPrompt <= 0 || o.Mix.MaxOutput <= 0 {
		return Options{}, false, fmt.Errorf("--concurrency, --callers, --max-prompt and --max-output must be above 0")
	}
	return o, *asJSON, err
}

// parseCustomers reads name=weight pairs.
func parseCustomers(text string) ([]Customer, error) {
	if text == "" {
		return defaultCustomers(), nil
	}
	var customers []Customer
	for pair := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(pair, "=")
		weight, err := strconv.Atoi(number)
		if err != nil || weight <= 0 || name == "" {
			return nil, fmt.Errorf("--customers: %q is not name=weight with a weight above 0", pair)
		}
		customers = append(customers, Customer{
			Name:   name,
			Weight: weight,
		})
	}
	return customers, nil
}

func defaultCustomers() []Customer {
	var customers []Customer
	for i := range 10 {
		weight := 1
		if i < 3 {
			weight = 8
		}
		customers = append(customers, Customer{
			Name:   fmt.Sprintf("customer-%d", i+1),
			Weight: weight,
		})
	}
	return customers
}
