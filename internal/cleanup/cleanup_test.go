package cleanup

import (
	"fmt"
	"testing"
)

// Functions run once, the last one first; one that is pushed after the run is called at once.
func TestFunctionsRunOnceInReverse(t *testing.T) {
	var stack Stack
	var ran []string
	push := func(name string) { stack.Push(func() { ran = append(ran, name) }) }
	push("first")
	push("second")
	stack.Run()
	stack.Run()
	push("late")
	if fmt.Sprint(ran) != "[second first late]" {
		t.Errorf("ran %v", ran)
	}
}
