package generator_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/generator"
)

var updateGolden = flag.Bool("update", false, "write the golden files")

func TestExamplesAgainstGoldenFiles(t *testing.T) {
	for _, name := range []string{"saaf-thatch-orders", "dayami-hub"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answers, err := os.ReadFile("../../examples/" + name + ".answers.json")
			is.NoErr(err)
			out, err := generator.Generate(answers)
			is.NoErr(err)
			second, err := generator.Generate(answers)
			is.NoErr(err)
			is.Equal(string(out), string(second)) // The output is deterministic.
			golden := "../../examples/" + name + ".declarations.json"
			if *updateGolden {
				is.NoErr(os.WriteFile(golden, out, 0o644))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(string(out), string(want))
			d, err := declarer.Parse(out)
			is.NoErr(err)
			objects, err := d.Objects()
			is.NoErr(err)
			assembled, err := declarer.Assemble(objects)
			is.NoErr(err)
			is.Equal(assembled, d)
		})
	}
}

func TestInvalidAnswersAreRejected(t *testing.T) {
	answers, err := os.ReadFile("../../examples/dayami-hub.answers.json")
	if err != nil {
		t.Fatal(err)
	}
	rows := []struct{ name, old, invalid, want string }{
		{"unknown key", `"deployment"`, `"deploiment": 1, "deployment"`, "/: "},
		{"share", `"share": 8`, `"share": 0`, "/accounts/0/share: 0: "},
		{"zone", `"zone": "tarlac"`, `"zone": "Tarlac City"`, `/targets/0/zones/0/zone: "Tarlac City": `},
		{"address", `192.0.2.10:9000`, `engine-1:9000`, `/targets/0/zones/0/addresses/0: "engine-1:9000": `},
		{"repeat", `"may-a-call-be-repeated": "no"`, `"may-a-call-be-repeated": "maybe"`, `/targets/1/may-a-call-be-repeated: "maybe": `},
		{"program", `"appraisal-draft",`, `"appraisal",`, `/accounts/0/programs/0: "appraisal": one of appraisal-draft, award, bidder-answer`},
		{"target", `"lot-sheets"`, `"lot-sheet"`, `/programs/0/reaches/1: "lot-sheet": one of auction-ledger, gate-pass, lot-sheets, model`},
		{"outage", `"go-on"`, `"panic"`, `/store-outage: "panic": `},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			_, err := generator.Generate([]byte(strings.Replace(string(answers), row.old, row.invalid, 1)))
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), row.want))
		})
	}
}

func FuzzGenerate(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"deployment":"x","accounts":[],"programs":[],"targets":[],"crest":{},"store-outage":"go-on"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		out, err := generator.Generate(data)
		if err == nil {
			if _, err := declarer.Parse(out); err != nil {
				t.Fatal(err)
			}
		}
	})
}
