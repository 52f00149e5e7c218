package follower

import (
	"context"
	"fmt"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// A program embeds a follower, proposes a change and reads the state. This example uses an in-memory log; programs use a
// *logclient.Client.
func ExampleFollower() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := New(testConfig("entry-a", newFakeLog()))
	if err != nil {
		fmt.Println(err)
		return
	}
	go func() { _ = f.Run(ctx) }()

	key := resource.Key{Kind: resource.KindPool, Name: "kiosk"}
	change := Change{Op: statelog.OpPut, Key: key, Author: "operator", Spec: []byte(`{"minVMs":8}`)}
	out, err := f.Propose(ctx, change)
	fmt.Println(out.Status, out.Offset, err)

	// Another operator proposes the pool with base version 0 as well, although it exists now.
	change.Author = "other operator"
	out, err = f.Propose(ctx, change)
	fmt.Println(out.Status, out.CurrentVersion, err)
	fmt.Println(f.View().Get(key).Author, f.View().Spec(key).(*resource.Pool).MinVMs)
	// Output:
	// accepted 1 <nil>
	// conflict 1 <nil>
	// operator 8
}
