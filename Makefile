.PHONY: build run test measure faults lint

build:
	go build -o bin/pimentorail ./cmd/pimentorail

run: build
	sh scripts/run.sh

test:
	go test -race ./...

lint:
	go tool gofumpt -l cmd pkg internal
	go tool revive -set_exit_status ./...
