package roller

// Change is one path whose value differs; an absent value is empty.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Diff lists the paths that differ, sorted.
func Diff(_, _ Bundle) []Change {
	return nil
}
