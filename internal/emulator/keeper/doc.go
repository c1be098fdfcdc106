// Package keeper is an in-memory store with fault injection, for tests of code that uses the platform's object API.
package keeper
