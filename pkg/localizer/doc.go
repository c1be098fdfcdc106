// Package localizer decides when work leaves the data centre of its caller, and how much of it. Traffic between data centres is slower
// and costs money, but a data centre's own targets are sometimes too few.
package localizer
