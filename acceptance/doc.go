// Package acceptance has the scenarios of the whole system, which run the real programs.
package acceptance
