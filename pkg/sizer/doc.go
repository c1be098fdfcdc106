// Package sizer decides how many engines of a service the platform is asked to run in each data centre.
package sizer
