// Package acceptance holds the end-to-end tests: scenarios that run the real programs.
package acceptance
