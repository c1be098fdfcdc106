package elector_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("DEBUG"), 10, 64)
	w := newWorld(seed, schedule(seed, allFaults()), without{}, 2+int(seed%3))
	for _, f := range w.faults {
		fmt.Printf("fault %+v\n", f)
	}
	v := int64(-1)
	show := func() {
		if w.version != v {
			v = w.version
			fmt.Println(w.now, "table", v, w.table.Writer, w.table.WriteNumber)
			for id, e := range w.table.Entries {
				fmt.Printf("   %s %+v prev %v\n", id, *e, e.Previous)
			}
		}
	}
	for w.now < w.end {
		w.step()
		show()
		if err := w.check(); err != nil {
			fmt.Println(err)
			return
		}
	}
	w.quiet = true
	w.faults = nil
	for w.now < w.end+settleTime+60*time.Second {
		w.step()
		show()
		if w.now%(10*time.Second) == 0 {
			for _, n := range w.instances {
				fmt.Println(w.now, n.holder, n.alive, n.paused(), n.leaving, n.shares, n.el.Isolated(n.local()), n.el.TableVersion())
			}
		}
	}
	fmt.Println(w.leftovers())
}
