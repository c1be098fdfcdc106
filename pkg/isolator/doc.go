// Package isolator finds the requests and prompt parts that crash engines, and keeps them away from engines. It has no clock; callers
// pass the current time.
package isolator
