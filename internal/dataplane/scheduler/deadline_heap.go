package scheduler

// deadlineHeap is a container/heap of the queued requests that have a deadline, earliest
// first. Each request stores its index, so that it can be removed from the middle.
type deadlineHeap []*Request

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline < h[j].Deadline }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface; use heap.Push.
func (h *deadlineHeap) Push(x any) {
	r := x.(*Request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface; use heap.Pop or heap.Remove.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil // lets the garbage collector free the request
	*h = old[:len(old)-1]
	return last
}
