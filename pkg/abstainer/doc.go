// Package abstainer keeps requests away from targets that have said in an answer that they want none. It has no clock; callers pass the
// current time.
package abstainer
