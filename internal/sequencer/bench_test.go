package sequencer_test

import (
	"fmt"
	"testing"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/sequencer"
)

func BenchmarkCallOfAProgram(b *testing.B) {
	s := emulator.NewStore()
	d := startDaemon(s)
	defer d.close()
	if f := d.create(1_000_000_000); f != nil {
		b.Fatal(f)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%400 == 0 {
			programName = sequencer.Name{Account: "kamalig", ID: fmt.Sprint("lot-", i)}
			if f := d.create(1_000_000); f != nil {
				b.Fatal(f)
			}
		}
		r := d.beginModelCall(0, fmt.Sprint(i), "question", 10)
		if f := d.finish(r.Ticket, completed("answer", 2, 1)); f.Fault != nil {
			b.Fatal(f.Fault)
		}
	}
}

func BenchmarkTakeoverOfPrograms(b *testing.B) {
	for _, programs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			s := emulator.NewStore()
			d := startDaemon(s)
			for i := range programs {
				programName = sequencer.Name{Account: "kamalig", ID: fmt.Sprint("lot-", i)}
				if f := d.create(100_000); f != nil {
					b.Fatal(f)
				}
				for n := range 5 {
					r := d.beginModelCall(0, fmt.Sprint(n), "question", 10)
					d.finish(r.Ticket, completed("answer", 2, 1))
				}
			}
			d.close()
			b.ReportAllocs()
			for b.Loop() {
				d = startDaemon(s)
				for i := range programs {
					programName = sequencer.Name{Account: "kamalig", ID: fmt.Sprint("lot-", i)}
					if v := d.view(); v.Calls != 5 {
						b.Fatal("turns were lost in the takeover")
					}
				}
				d.close()
			}
		})
	}
}
