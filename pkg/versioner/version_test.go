package versioner

import (
	"encoding/json"
	"testing"
)

// Guards against a version of a former era that counts as newer since its number is higher (review/11).
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name string
		a, b Version
		want int
	}{
		{name: "same", a: Version{Era: 1, Number: 5}, b: Version{Era: 1, Number: 5}},
		{name: "later number", a: Version{Era: 1, Number: 6}, b: Version{Era: 1, Number: 5}, want: 1},
		{name: "later era with a lower number", a: Version{Era: 2, Number: 3}, b: Version{Era: 1, Number: 9}, want: 1},
		{name: "without eras", a: Of(4), b: Of(7), want: -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.a.Compare(c.b); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
			if got := c.b.Compare(c.a); got != -c.want {
				t.Errorf("the other way round: got %d, want %d", got, -c.want)
			}
			if latest := Latest(c.a, c.b); c.a.After(latest) || c.b.After(latest) {
				t.Errorf("latest: got %+v", latest)
			}
		})
	}
}

// Guards against versions that an instance of an earlier release, or a store that states no era, can't read.
func TestEncoding(t *testing.T) {
	for encoded, want := range map[string]Version{
		`{"version":7}`:         Of(7),
		`{"era":2,"version":7}`: {Era: 2, Number: 7},
	} {
		got, err := json.Marshal(want)
		if err != nil || string(got) != encoded {
			t.Errorf("encoded as %s, %v; want %s", got, err, encoded)
		}
		var read Version
		if err := json.Unmarshal([]byte(encoded), &read); err != nil || read != want {
			t.Errorf("%s read as %+v, %v", encoded, read, err)
		}
	}
}
