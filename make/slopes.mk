# Growth of the cost of coordination with the size of a deployment, for docs/CAPACITY.md.

.PHONY: slopes

slopes: ## measure how the cost of coordination grows with the size of a deployment (about 3 minutes)
	@$(GO) run ./cmd/sesame-slopes
