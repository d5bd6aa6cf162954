package platform

import "sync"

// objectMap is an in-memory object store.
type objectMap struct {
	mu      sync.Mutex
	objects map[string][]byte
}

func newObjectMap() *objectMap {
	return &objectMap{objects: map[string][]byte{}}
}

func (o *objectMap) put(key string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[key] = data
}

func (o *objectMap) get(key string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.objects[key]
	return data, ok
}
