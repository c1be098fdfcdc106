// Package loader generates load as callers do, checks every answer and reports counts and times.
package loader
