// Package adder implements `bergamothollow target add`, which adds target records.
package adder
