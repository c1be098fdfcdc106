// Package namer defines the identifier types shared by all packages.
package namer
