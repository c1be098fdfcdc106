package director

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// fleet returns the candidates of a deployment with the given numbers of strong and weak instances in each data centre, and its cores.
func fleet(dataCentres, strong, weak int, strongCores, weakCores float64) ([]Candidate, float64) {
	var list []Candidate
	total := 0.0
	for d := range dataCentres {
		for i := range strong + weak {
			c := Candidate{
				Name:       fmt.Sprintf("entry-%d-%03d", d, i),
				DataCentre: namer.DataCentre(fmt.Sprint("dc-", d)),
				Cores:      weakCores,
			}
			if i >= weak {
				c.Cores = strongCores
			}
			total += c.Cores
			list = append(list, c)
		}
	}
	return list, total
}

func coresOf(list []Candidate, chosen map[string]bool, without namer.DataCentre) float64 {
	total := 0.0
	for _, c := range list {
		if chosen[c.Name] && c.DataCentre != without {
			total += c.Cores
		}
	}
	return total
}

// Guards against a directory that sends callers to weak instances although few strong ones carry the traffic, and against control
// traffic that grows with the number of instances (pattern: hundreds of instances, quiet day).
func TestStrongInstancesAreChosen(t *testing.T) {
	for _, test := range []struct {
		name                      string
		dataCentres, strong, weak int
		used                      float64
		want                      int
	}{
		{name: "few equal instances are all chosen", dataCentres: 3, weak: 3, want: 9},
		{name: "strong instances of a large fleet suffice", dataCentres: 5, strong: 3, weak: 56, want: 15},
		{name: "weak instances are added under load", dataCentres: 5, strong: 3, weak: 56, used: 3, want: 15 + 5*3},
	} {
		t.Run(test.name, func(t *testing.T) {
			list, total := fleet(test.dataCentres, test.strong, test.weak, 0.8, 0.2)
			chosen := Choose(list, total, test.used, DefaultSettings())
			if len(chosen) != test.want {
				t.Errorf("%d instances chosen, want %d", len(chosen), test.want)
			}
		})
	}
}

// Guards against a choice that doesn't carry the load after the loss of a data centre, that has more addresses than callers use, or
// that is empty, over deployments of unlike sizes (pattern: zone_loss during a burst).
func TestChoiceSurvivesLossOfADataCentre(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		list, total := fleet(2+random.IntN(5), random.IntN(6), 1+random.IntN(60), 0.4+random.Float64(), 0.1+0.2*random.Float64())
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		s := DefaultSettings()
		used := 2 * random.Float64()
		chosen := Choose(list, total, used, s)
		if len(chosen) == 0 || len(chosen) > s.MaxInstances {
			t.Fatalf("seed %d: %d of %d instances chosen", seed, len(chosen), len(list))
		}
		if len(chosen) == len(list) || len(chosen) == s.MaxInstances {
			continue
		}
		for _, c := range list {
			if left := coresOf(list, chosen, c.DataCentre); left < s.Headroom*used {
				t.Fatalf("seed %d: %.2f cores without %s, want %.2f", seed, left, c.DataCentre, s.Headroom*used)
			}
		}
	}
}
