# make demo [STAY=1] | make test | make measure
.PHONY: build demo test measure lint

build:
	go build -o bin/ ./cmd/...

demo:
	STAY=$(STAY) ./tools/demo

test:
	go test -race -timeout 20m ./...

lint:
	./tools/lint

measure:
	go run ./cmd/clementine-measure
