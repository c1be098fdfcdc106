// Package server answers callers over HTTP: each request passes a chain of filters from parsing to release.
package server
