// Command loader generates load and checks every response.
package main

import (
	"context"
	"os"

	"bergamothollow.example/bergamothollow/internal/loader"
)

func main() {
	os.Exit(loader.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
