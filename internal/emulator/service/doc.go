// Package service emulates a plain service and counts how often each call ran.
package service
