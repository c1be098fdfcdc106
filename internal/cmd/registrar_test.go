package registrar

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/internal/bundler"
	"bergamothollow.example/bergamothollow/internal/configurer"
	"bergamothollow.example/bergamothollow/internal/emulator/keeper"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/internal/keyfile"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/recorder"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

const examples = "../../examples/"

// eager is a clock on which waiting takes no time.
type eager struct {
	now time.Time
}

func (e *eager) Now() time.Time { return e.now }

func (e *eager) After(d time.Duration) <-chan time.Time {
	e.now = e.now.Add(d)
	c := make(chan time.Time, 1)
	c <- e.now
	return c
}

// bench is a directory with operators' keys and settings beside a store in memory.
type bench struct {
	dir   string
	store *keeper.Keeper
}

type outcome struct {
	code   int
	output string
	errors string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
		dir:   t.TempDir(),
		store: keeper.New(),
	}
	approvers := ""
	for _, name := range []string{"ana", "eva", "leo"} {
		public, err := keyfile.Create(b.path(name + ".pem"))
		if err != nil {
			t.Fatal(err)
		}
		approvers += fmt.Sprintf("  %s: %s\n", name, base64.StdEncoding.EncodeToString(public))
	}
	for _, name := range []string{"ana", "eva", "leo"} {
		b.write(t, name+".yaml", "operator: "+name+"\nplatform:\n  address: 127.0.0.1:7000\napprovers:\n"+approvers)
	}
	return b
}

func (b *bench) path(name string) string { return filepath.Join(b.dir, name) }

func (b *bench) write(t *testing.T, name, content string) {
	t.Helper()
	if err := os.WriteFile(b.path(name), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// run executes a command line as an operator on the store in memory; words ending in @ name files of the bench.
func (b *bench) run(operator, line string) outcome {
	return b.execute(operator, line, func(f *factory.Factory) {
		f.Clock = &eager{
			now: time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC),
		}
		f.OpenStore = func(configurer.Settings) (storer.Store, error) { return b.store, nil }
	})
}

// runHTTP is run as ana, over the platform's HTTP API with the system's clock.
func (b *bench) runHTTP(line string) outcome {
	return b.execute("ana", line, func(*factory.Factory) {})
}

func (b *bench) execute(operator, line string, replace func(*factory.Factory)) outcome {
	var out, errs bytes.Buffer
	f := factory.New(strings.NewReader(""), &out, &errs)
	f.SettingsFile = b.path(operator + ".yaml")
	replace(f)
	words := strings.Fields(line)
	for i, word := range words {
		if name, ok := strings.CutSuffix(word, "@"); ok {
			words[i] = b.path(name)
		}
	}
	code := f.Execute(context.Background(), Commands(f), words)
	return outcome{
		code:   code,
		output: out.String(),
		errors: errs.String(),
	}
}

// shouldExit asserts the exit code and that each text is in the output or the error stream.
func shouldExit(o outcome, code int, texts ...string) {
	So(fmt.Sprintf("%d %s", o.code, o.errors), ShouldStartWith, fmt.Sprintf("%d ", code))
	for _, text := range texts {
		So(o.output+o.errors, ShouldContainSubstring, text)
	}
}

func (b *bench) departure() tracker.Departure {
	entry, err := factory.Read[tracker.Departure](context.Background(), b.store, storer.KindDeparture, storer.CurrentName)
	So(err, ShouldBeNil)
	return entry.Value
}

func (b *bench) sequence() int64 {
	entry, err := factory.Read[roller.Pointer](context.Background(), b.store, storer.KindBundlePointer, storer.CurrentName)
	So(err, ShouldBeNil)
	return entry.Value.Sequence
}

// Guards against wrong exit codes and changes that are made although the command fails.
func TestDepartures(t *testing.T) {
	tests := []struct {
		name    string
		line    string
		faults  keeper.Faults
		want    []namer.DataCentre
		code    int
		wantErr string
	}{
		{"out", "datacentre out fish-wharf", keeper.Faults{}, []namer.DataCentre{"fish-wharf", "north-pier"}, 0, "done"},
		{"in", "datacentre in north-pier", keeper.Faults{}, []namer.DataCentre{}, 0, "done"},
		{"already out", "datacentre out north-pier", keeper.Faults{}, []namer.DataCentre{"north-pier"}, 0, "nothing to change"},
		{"misspelt", "datacentre out fish-warf", keeper.Faults{}, []namer.DataCentre{"north-pier"}, 1, "cannery-row, fish-wharf"},
		{"misspelt target", "target out engine", keeper.Faults{}, []namer.DataCentre{"north-pier"}, 1, "engine-1, engine-2"},
		{"no name", "datacentre out", keeper.Faults{}, []namer.DataCentre{"north-pier"}, 2, "name a data centre"},
		{"stale version", "datacentre out fish-wharf --if-version 1", keeper.Faults{}, []namer.DataCentre{"north-pier"}, 3, "leo"},
		{"store down", "datacentre out fish-wharf", keeper.Faults{Down: true}, []namer.DataCentre{"north-pier"}, 4, "the failed call changed nothing"},
		{"answer lost", "datacentre out fish-wharf", keeper.Faults{LoseAnswers: 1}, []namer.DataCentre{"fish-wharf", "north-pier"}, 0, "done"},
		{"answer lost, then down", "datacentre out fish-wharf", keeper.Faults{LoseAnswers: 1, DownAfter: 1}, []namer.DataCentre{"fish-wharf", "north-pier"}, 4, "may have taken effect"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			b := newBench(t)
			shouldExit(b.run("ana", "target add --file "+examples+"targets.yaml"), 0)
			shouldExit(b.run("leo", "datacentre out north-pier"), 0)
			b.store.Order(test.faults)
			shouldExit(b.run("ana", test.line), test.code, test.wantErr)
			b.store.Order(keeper.Faults{})
			So(b.departure().DataCentres, ShouldResemble, test.want)
		})
	}
}

// Guards against the lost update when two operators change departures at the same time.
func TestDepartureRace(t *testing.T) {
	Convey("the loser is told what the winner changed", t, func() {
		b := newBench(t)
		shouldExit(b.run("ana", "target add --file "+examples+"targets.yaml"), 0)
		b.store.Order(keeper.Faults{
			BeforeWrite: func() { b.run("leo", "target out engine-2") },
		})
		shouldExit(b.run("ana", "datacentre out north-pier"), 3, "changed by leo", "target engine-2 out", "changed nothing")
		So(b.departure().DataCentres, ShouldBeEmpty)
		So(b.departure().Targets, ShouldResemble, []namer.Target{"engine-2"})
	})
	Convey("the last data centre needs --force", t, func() {
		b := newBench(t)
		shouldExit(b.run("ana", "target add --file "+examples+"targets.yaml"), 0)
		shouldExit(b.run("ana", "datacentre out north-pier"), 0)
		shouldExit(b.run("ana", "datacentre out fish-wharf"), 0)
		shouldExit(b.run("ana", "datacentre out cannery-row"), 1, "--force")
		shouldExit(b.run("ana", "datacentre out cannery-row --force"), 0)
	})
}

func (b *bench) member(instance namer.Instance, state tracker.State, sequence int64) {
	b.store.Put(storer.KindMember, string(instance), tracker.Member{
		Holder: namer.Holder{
			Instance: instance,
		},
		State:          state,
		BundleSequence: sequence,
	})
}

// signed creates a bundle of an author with a note and has eva approve it.
func (b *bench) signed(t *testing.T, author, note string) string {
	t.Helper()
	content, err := os.ReadFile(examples + "bundle.yaml")
	So(err, ShouldBeNil)
	b.write(t, author+"-draft.yaml", strings.Replace(string(content), "first season", note, 1))
	shouldExit(b.run(author, "bundle create --file "+author+"-draft.yaml@ --out "+author+"-next.yaml@"), 0)
	shouldExit(b.run("eva", "bundle approve --file "+author+"-next.yaml@ --key eva.pem@ --out "+author+".json@"), 0)
	return author + ".json@"
}

// Guards against a rollout that is lost, made twice or reported wrongly.
func TestRoll(t *testing.T) {
	tests := []struct {
		name    string
		options string
		faults  keeper.Faults
		want    int64
		code    int
		wantErr string
	}{
		{"rolled", "", keeper.Faults{}, 2, 0, "bundle 2 is in force"},
		{"stale version", " --if-version 1", keeper.Faults{}, 1, 3, "bundle 1 by leo"},
		{"store down", "", keeper.Faults{Down: true}, 1, 4, "the failed call changed nothing"},
		{"both answers lost", "", keeper.Faults{LoseAnswers: 2}, 2, 0, "bundle 2 is in force"},
		{"down between the writes", "", keeper.Faults{DownAfter: 1}, 1, 4, "run the command again"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			b := newBench(t)
			shouldExit(b.run("leo", "bundle roll --file "+b.signed(t, "leo", "base")), 0)
			next := b.signed(t, "ana", "second season")
			b.store.Order(test.faults)
			shouldExit(b.run("ana", "bundle roll --file "+next+test.options), test.code, test.wantErr)
			b.store.Order(keeper.Faults{})
			So(b.sequence(), ShouldEqual, test.want)
			if test.want == 2 || test.code == 4 {
				shouldExit(b.run("ana", "bundle roll --file "+next), 0, "bundle 2 is in force")
			}
		})
	}
}

// Guards against a rollout that overwrites another operator's.
func TestRollRace(t *testing.T) {
	Convey("the loser is told sequence, author and differing paths", t, func() {
		b := newBench(t)
		shouldExit(b.run("leo", "bundle roll --file "+b.signed(t, "leo", "base")), 0)
		mine := b.signed(t, "ana", "mine")
		theirs := b.signed(t, "leo", "theirs")
		b.store.Order(keeper.Faults{
			BeforeWrite: func() { b.run("leo", "bundle roll --file "+theirs) },
		})
		shouldExit(b.run("ana", "bundle roll --file "+mine), 3, "bundle 2 by leo", "note:", "bundle create")
		shouldExit(b.run("ana", "bundle roll --file "+mine), 3, "changed by leo", "bundle 2 by leo", "note:")
		So(b.sequence(), ShouldEqual, 2)
		shouldExit(b.run("ana", "bundle roll --file "+b.signed(t, "ana", "mine again")), 0, "bundle 3 is in force")
	})
}

// Guards against a pointer that moves back, or to a bundle other than the stored one.
func TestRollNeverReverts(t *testing.T) {
	Convey("a sequence below the one in force is a conflict", t, func() {
		b := newBench(t)
		older := b.signed(t, "ana", "older")
		b.store.Put(storer.KindBundlePointer, storer.CurrentName, roller.Pointer{
			Sequence: 5,
			RolledBy: "leo",
		})
		shouldExit(b.run("ana", "bundle roll --file "+older), 3, "leo", "sequence 5")
		So(b.sequence(), ShouldEqual, 5)
	})
	Convey("a sequence whose bundle was stored but not put in force is taken", t, func() {
		b := newBench(t)
		mine := b.signed(t, "ana", "mine")
		theirs := b.signed(t, "leo", "theirs")
		b.store.Order(keeper.Faults{
			DownAfter: 1,
		})
		shouldExit(b.run("leo", "bundle roll --file "+theirs), 4)
		b.store.Order(keeper.Faults{})
		shouldExit(b.run("ana", "bundle roll --file "+mine), 3, "bundle 1 by leo")
		So(b.sequence(), ShouldEqual, 0)
		shouldExit(b.run("ana", "bundle roll --file "+b.signed(t, "ana", "again")), 0, "bundle 2 is in force")
	})
}

// Guards against rollouts without a second person, and members counted as confirmed that are not.
func TestApprovalAndConfirmation(t *testing.T) {
	Convey("an author cannot approve", t, func() {
		b := newBench(t)
		shouldExit(b.run("ana", "bundle create --file "+examples+"bundle.yaml --out next.yaml@"), 0)
		shouldExit(b.run("ana", "bundle approve --file next.yaml@ --key ana.pem@"), 1, "another person")
		shouldExit(b.run("eva", "bundle approve --file next.yaml@ --key leo.pem@"), 1, "not signed by the key")
	})
	Convey("a bundle that was changed after its approval is not rolled", t, func() {
		b := newBench(t)
		b.signed(t, "ana", "base")
		signed, err := bundler.ReadSigned(b.path("ana.json"))
		So(err, ShouldBeNil)
		signed.Content = bytes.Replace(signed.Content, []byte("base"), []byte("more"), 1)
		content, err := json.Marshal(signed)
		So(err, ShouldBeNil)
		b.write(t, "changed.json", string(content))
		shouldExit(b.run("ana", "bundle roll --file changed.json@"), 1, "not signed")
		So(b.sequence(), ShouldEqual, 0)
	})
	Convey("members confirm in their records", t, func() {
		b := newBench(t)
		b.member("entry-1", tracker.StateServing, 0)
		b.member("entry-2", tracker.StateServing, 1)
		b.member("entry-3", tracker.StateLeft, 0)
		rolled := b.run("ana", "bundle roll --wait 9s --json --file "+b.signed(t, "ana", "base"))
		shouldExit(rolled, 0)
		var decoded struct {
			Members []struct {
				Instance  string
				Confirmed bool
				Renewed   bool
			}
		}
		So(json.Unmarshal([]byte(rolled.output), &decoded), ShouldBeNil)
		So(fmt.Sprint(decoded.Members), ShouldEqual, "[{entry-1 false false} {entry-2 true false}]")
		shouldExit(b.run("ana", "status"), 0, "bundle in force: 1", "entry-2")
		shouldExit(b.run("ana", "bundle show"), 0, "author ana, approver eva, signature valid", "default_deadline: 30s")
		shouldExit(b.run("ana", "bundle diff --file "+examples+"bundle.yaml"), 0, "note")
	})
}

// Guards against faulty target records that are accepted, and against overwriting a colleague's record.
func TestTargetAdd(t *testing.T) {
	engine := "targets:\n  - id: e\n    kind: engine\n    address: 127.0.0.1:1\n    cell: main\n    data_centre: n\n"
	rest := "    model: m\n    capacity_tokens: 10\n    prefill_rate: 1\n    token_interval: 20ms\n"
	tests := []struct {
		name    string
		content string
		options string
		want    int
		wantErr string
	}{
		{"added", engine + rest, "", 0, "written"},
		{"unknown key", engine + rest + "    colour: red\n", "", 1, "targets.yaml:11: targets.0.colour: unknown key"},
		{"missing model", engine, "", 1, "targets.yaml:2: targets.0.model: required"},
		{"interval without unit", engine + strings.Replace(rest, "20ms", "20", 1), "", 1, "targets.yaml:10: targets.0.token_interval"},
		{"listed twice", engine + rest + strings.TrimPrefix(engine, "targets:\n") + rest, "", 1, "listed twice"},
		{"other content", strings.Replace(engine+rest, "tokens: 10", "tokens: 20", 1), "", 3, "other content"},
		{"other content replaced", strings.Replace(engine+rest, "tokens: 10", "tokens: 20", 1), "--replace", 0, "written"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			b := newBench(t)
			if strings.HasPrefix(test.name, "other") {
				b.write(t, "first.yaml", engine+rest)
				shouldExit(b.run("ana", "target add --file first.yaml@"), 0)
			}
			b.write(t, "targets.yaml", test.content)
			shouldExit(b.run("ana", "target add --file targets.yaml@ "+test.options), test.want, test.wantErr)
		})
	}
}

// Guards against examples and help that no longer hold.
func TestExamplesAndHelp(t *testing.T) {
	b := newBench(t)
	tests := []struct {
		name string
		line string
		want string
	}{
		{"instance settings", "config check --instance --settings " + examples + "instance.yaml", "valid"},
		{"settings before the command", "--settings " + examples + "operator.yaml config check", "operator.yaml: valid"},
		{"operator settings", "config check --settings " + examples + "operator.yaml", "valid"},
		{"targets", "target add --file " + examples + "targets.yaml", "ledger-1: written"},
		{"bundle", "bundle create --file " + examples + "bundle.yaml", "author: ana"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			shouldExit(b.run("ana", test.line), 0, test.want)
		})
	}
	for _, line := range []string{
		"bundle create", "bundle show", "bundle approve", "bundle roll", "bundle diff", "target add", "target in", "target out",
		"datacentre in", "datacentre out", "config check", "key create", "status", "refusals",
	} {
		Convey("help of "+line, t, func() {
			shouldExit(b.run("ana", line+" --help"), 0, "Example:", "bergamothollow "+line, "-settings")
			shouldExit(b.run("ana", "--settings none.yaml "+line+" --help"), 0, "Example:")
		})
	}
	Convey("a key file is private and not overwritten", t, func() {
		shouldExit(b.run("ana", "key create --out new.pem@"), 0)
		info, err := os.Stat(b.path("new.pem"))
		So(err, ShouldBeNil)
		So(info.Mode().Perm(), ShouldEqual, os.FileMode(0o600))
		shouldExit(b.run("ana", "key create --out new.pem@"), 1, "name a new file")
	})
}

// Guards against listings that stop after the first page.
func TestStatusPages(t *testing.T) {
	Convey("all members are listed", t, func() {
		b := newBench(t)
		for i := range 120 {
			b.member(namer.Instance(fmt.Sprintf("entry-%03d", i)), tracker.StateServing, 1)
		}
		status := b.run("ana", "status")
		shouldExit(status, 0)
		So(strings.Count(status.output, "entry-"), ShouldEqual, 120)
	})
}

func refusal(id string, customer namer.Customer, reason refuser.Reason, at time.Time) refuser.Record {
	return refuser.Record{
		ID:       id,
		Customer: customer,
		Reason:   reason,
		At:       at,
	}
}

// Guards against filters that hide a refusal or show those of another customer.
func TestRefusals(t *testing.T) {
	b := newBench(t)
	noon := time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)
	b.store.Put(storer.KindRefusal, "entry-1.x.00000001", recorder.Batch{
		Records: []refuser.Record{
			refusal("entry-1.x.00000001.0", "crew", refuser.QueueFull, noon.Add(-time.Minute)),
			refusal("entry-1.x.00000001.1", "wigs", refuser.QueueFull, noon.Add(-2*time.Hour)),
			refusal("entry-1.x.00000001.2", "crew", refuser.Leaving, noon.Add(-3*time.Hour)),
		},
	})
	tests := []struct {
		name    string
		options string
		want    []string
		code    int
		wantErr string
	}{
		{"all, oldest first", "", []string{"2", "1", "0"}, 0, ""},
		{"customer", "--customer crew", []string{"2", "0"}, 0, ""},
		{"duration", "--since 1h", []string{"0"}, 0, ""},
		{"time", "--since 2026-01-31T09:30:00Z", []string{"1", "0"}, 0, ""},
		{"reason", "--reason leaving", []string{"2"}, 0, ""},
		{"id", "--id entry-1.x.00000001.1", []string{"1"}, 0, ""},
		{"unknown reason", "--reason late", nil, 2, "use one of"},
		{"bad time", "--since yesterday", nil, 2, "neither a duration"},
		{"record not stored", "--id entry-1.x.00000002.1", nil, 1, "no record"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			listed := b.run("ana", "refusals --json "+test.options)
			shouldExit(listed, test.code, test.wantErr)
			var decoded struct{ Records []refuser.Record }
			_ = json.Unmarshal([]byte(listed.output), &decoded)
			var got []string
			for _, record := range decoded.Records {
				got = append(got, strings.TrimPrefix(record.ID, "entry-1.x.00000001."))
			}
			So(got, ShouldResemble, test.want)
		})
	}
}

// Guards against reasons that the operators' page does not explain.
func TestOperatingPage(t *testing.T) {
	Convey("every reason is on the page", t, func() {
		page, err := os.ReadFile("../../docs/operating.md")
		So(err, ShouldBeNil)
		for _, reason := range refuser.Reasons() {
			So(string(page), ShouldContainSubstring, "| `"+string(reason)+"` |")
		}
		for _, reason := range refuser.RetryReasons() {
			So(string(page), ShouldContainSubstring, "`"+string(reason)+"`")
		}
	})
}
