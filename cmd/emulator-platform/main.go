// Command emulator-platform emulates the platform's object API.
package main

import (
	"context"
	"os"

	"bergamothollow.example/bergamothollow/internal/emulator/platform"
)

func main() {
	os.Exit(platform.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
