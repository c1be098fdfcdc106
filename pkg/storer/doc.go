// Package storer is the client of the platform's object API.
package storer
