// Package returner paces requests that come back after a fault: it plans when refused ones return, and works off those that have
// returned late so that they leave room for new ones.
package returner
