/** Tests that measure the memory of a process: they run one at a time, apart from the others. */
const config = {
	files: ['dist/test/crowd/*.test.js'],
	timeout: '5m',
	concurrency: 1,
	workerThreads: false,
};

export default config;
