import {expect} from 'chai';

import type {Metrics, MetricTags} from '../src/metrics.js';
import {createPrometheusMetrics} from '../src/prometheus_metrics.js';

describe('Prometheus metrics', () => {
  let metrics: Metrics;
  let errors: Error[];

  beforeEach(async () => {
    errors = [];
    metrics = await createPrometheusMetrics({
      host: '127.0.0.1',
      port: 0,
      path: '/metrics',
      onError: err => errors.push(err),
    });
  });

  afterEach(() => metrics.close());

  const samples: readonly (readonly [string, (tags: MetricTags) => void])[] = [
    ['a counter', tags => metrics.increment('count', 1, tags)],
    ['a gauge', tags => metrics.gauge('level', 1, tags)],
    ['a duration', tags => metrics.timing('step', 1, tags)],
  ];
  for (const [title, record] of samples) {
    // Guards against a sample that takes a whole process down.
    it(`report ${title} with other tags than before, and go on`, () => {
      record({reason: 'first'});
      record({cause: 'other'});
      record({reason: 'second'});
      expect(errors).to.have.length(1);
    });
  }
});
