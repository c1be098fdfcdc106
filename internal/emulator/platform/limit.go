package platform

import "time"

// limit allows a number of calls in each second of the clock.
type limit struct {
	perSecond int
	second    int64
	used      int
}

func (l *limit) allow(now time.Time) bool {
	if second := now.Unix(); second != l.second {
		l.second = second
		l.used = 0
	}
	if l.used >= l.perSecond {
		return false
	}
	l.used++
	return true
}
