// Command bench measures the request path against its performance goals and baseline policies.
package main

import (
	"flag"
	"os"

	"bergamothollow.example/bergamothollow/internal/bencher"
)

func main() {
	var options bencher.Options
	flag.Uint64Var(&options.Seed, "seed", 1, "seed of the workload and the samples")
	flag.BoolVar(&options.Quick, "quick", false, "shorter runs, one seed")
	flag.DurationVar(&options.Length, "length", 0, "simulated time of one run (default 3m, 45s with -quick)")
	flag.Parse()
	bencher.Run(options, os.Stdout)
}
