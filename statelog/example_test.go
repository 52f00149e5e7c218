package statelog_test

import (
	"fmt"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// Two operators change the same resource. All nodes apply the same records and agree on which change is accepted.
func Example() {
	put := func(id byte, base, read uint64, spec string) []byte {
		data, err := statelog.EncodeRecord(&statelog.Record{
			ID: statelog.RecordID{id}, Op: statelog.OpPut, BaseVersion: base, ReadPos: read, Spec: []byte(spec),
			Key: resource.Key{Kind: resource.KindVM, Name: "vm-1"},
		})
		if err != nil {
			panic(err)
		}
		return data
	}
	log := [][]byte{
		put(1, 0, 1, `{"pool":"kiosk"}`),
		put(2, 1, 2, `{"pool":"kiosk","drain":true}`),
		put(3, 1, 2, `{"pool":"hotline"}`),
		put(2, 1, 2, `{"pool":"kiosk","drain":true}`), // a retry of the second record
	}
	a, b := statelog.New(), statelog.New()
	for i, data := range log {
		offset := uint64(i) + 1
		out := a.Apply(offset, data)
		b.Apply(offset, data)
		fmt.Println(offset, out.Status, out.Duplicate, out.CurrentVersion)
	}
	fmt.Println(a.Hash() == b.Hash())
	fmt.Println(string(a.View().Get(resource.Key{Kind: resource.KindVM, Name: "vm-1"}).Spec))
	// Output:
	// 1 accepted false 0
	// 2 accepted false 0
	// 3 conflict false 2
	// 4 accepted true 0
	// true
	// {"pool":"kiosk","drain":true}
}
