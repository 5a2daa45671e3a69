/** Default path of the health endpoint of upstreams; declarations and settings may override it. */
export const HEALTH_PATH = '/ternmount/v1/health';
