// Package service emulates a service behind the proxy and counts how often each call ran.
package service
